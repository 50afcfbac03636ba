#include "daemon/ConfigurationService.h"

#include <utility>

#include "config/ConfigurationFollower.h"
#include "lagoonspoke/core/Digest.h"
#include "lagoonspoke/core/Overload.h"
#include "observe/LogLine.h"
#include "settings/JsonReader.h"
#include "wire/ConfigurationCodec.h"

namespace lagoonspoke {

namespace {

ConfigurationFollower makeFollower(const DaemonSettings& settings)
{
    ConfigurationFollower::Options options;
    options.instance = settings.instance;
    options.dataCentre = settings.dataCentre;
    // Instances that start together must not read the head together.
    options.seed = stableHash(
        settings.instance.value(), static_cast<std::uint64_t>(readMonotonicClock().time_since_epoch().count()));
    return ConfigurationFollower::Make(std::move(options));
}

} // namespace

struct ConfigurationService::State : std::enable_shared_from_this<State> {
    State(asio::io_context& context, const DaemonSettings& settings, WatchableObjectStorePtr client,
        ConfigurationPeers configurationPeers, Callbacks serviceCallbacks)
        : io(context)
        , timer(context)
        , store(std::move(client))
        , peers(std::move(configurationPeers))
        , callbacks(std::move(serviceCallbacks))
        , instance(settings.instance)
        , dataCentre(settings.dataCentre)
        , follower(makeFollower(settings))
    {
    }

    void dispatch(const FollowerEvent& event)
    {
        if (!stopped) {
            execute(follower.handle(event, readMonotonicClock()));
        }
    }

    void execute(std::vector<FollowerAction> actions)
    {
        for (auto& action : actions) {
            std::visit([this](auto& it) { run(it); }, action);
        }
        scheduleWakeup();
    }

    void scheduleWakeup()
    {
        auto next = follower.nextWakeup();
        if (stopped || !next) {
            return;
        }
        timer.expires_after(std::max(Duration(0), *next - readMonotonicClock()));
        timer.async_wait([self = shared_from_this()](error_code ec) {
            if (!ec && !self->stopped) {
                self->execute(self->follower.advance(readMonotonicClock()));
            }
        });
    }

    void run(const ReadHead&) { asio::co_spawn(io, readHead(shared_from_this()), asio::detached); }
    void run(const StartWatch& watch) { asio::co_spawn(io, watchHead(shared_from_this(), watch), asio::detached); }
    void run(const FetchBlob& fetch)
    {
        if (fetch.from) {
            BlobRequest request;
            request.digests.push_back(fetch.digest);
            send(*fetch.from, request);
        } else {
            asio::co_spawn(io, readBlob(shared_from_this(), fetch.digest), asio::detached);
        }
    }
    void run(ApplySnapshot& apply)
    {
        LogLine(LogLevel::Info, "configuration_applied").add("number", apply.snapshot->number());
        callbacks.applySnapshot(std::move(apply.snapshot));
    }
    void run(const AnnounceHead& announce)
    {
        HeadNotice notice { announce.number, announce.head };
        if (peers.publish) {
            peers.publish({ std::string(rumourKey), announce.number, encodeConfigurationMessage(notice) });
        }
        for (const auto& peer : neighbours) {
            send(peer, notice);
        }
    }
    void run(const AskPeers& ask)
    {
        HeadNotice notice { follower.number(), follower.headDigest(), true };
        for (const auto& peer : ask.peers) {
            send(peer, notice);
        }
    }
    void run(const SetKeyedAdmission& admission)
    {
        LogLine(admission.allowed ? LogLevel::Info : LogLevel::Warning, "keyed_admission")
            .add("allowed", admission.allowed);
        callbacks.setKeyedAdmission(admission.allowed);
    }
    void run(const ReportInvalidHead& invalid)
    {
        for (const auto& error : invalid.errors) {
            LogLine(LogLevel::Error, "configuration_refused")
                .add("number", invalid.number)
                .add("path", error.path)
                .add("reason", error.message);
        }
    }

    void send(const InstanceId& to, const ConfigurationMessage& message)
    {
        if (peers.send) {
            peers.send(to, encodeConfigurationMessage(message));
        }
    }

    void answer(const InstanceId& from, const HeadNotice& notice)
    {
        if (notice.replyWanted) {
            // Only a peer that is behind needs the digest, which is half of the message.
            bool behind = notice.number < follower.number();
            send(from, HeadNotice { follower.number(), behind ? follower.headDigest() : ContentDigest() });
        }
        dispatch(PeerHeadHeard { from, notice.number, notice.digest });
    }
    void answer(const InstanceId& from, const BlobRequest& request)
    {
        for (const auto& digest : request.digests) {
            const auto* content = follower.findBlob(digest);
            send(from, BlobReply { digest, content ? std::optional(*content) : std::nullopt });
        }
    }
    void answer(const InstanceId& from, const BlobReply& reply)
    {
        if (reply.content) {
            dispatch(BlobReceived { from, reply.digest, *reply.content });
        } else {
            dispatch(BlobNotAvailable { from, reply.digest });
        }
    }

    static asio::awaitable<void> readHead(std::shared_ptr<State> self)
    {
        auto object = co_await self->store->get(std::string(headKey));
        if (object) {
            self->dispatch(HeadRead { StoredValue { std::move(object->value), object->version } });
        } else if (object.error().code == ErrorCode::NotFound) {
            self->dispatch(HeadRead {});
        } else {
            self->dispatch(StoreCallFailed { StoreCall::ReadHead });
        }
    }

    static asio::awaitable<void> watchHead(std::shared_ptr<State> self, StartWatch watch)
    {
        auto object = co_await self->store->watch(std::string(headKey), watch.after, watch.wait);
        if (!object) {
            self->dispatch(StoreCallFailed { StoreCall::Watch });
            co_return;
        }
        WatchEnded ended;
        if (*object) {
            ended.head = StoredValue { std::move((*object)->value), (*object)->version };
        }
        self->dispatch(ended);
    }

    static asio::awaitable<void> readBlob(std::shared_ptr<State> self, ContentDigest digest)
    {
        auto object = co_await self->store->get(blobKey(digest));
        if (object) {
            self->dispatch(BlobReceived { std::nullopt, digest, std::move(object->value) });
        } else if (object.error().code == ErrorCode::NotFound) {
            self->dispatch(BlobNotAvailable { std::nullopt, digest });
        } else {
            self->dispatch(StoreCallFailed { StoreCall::FetchBlob, digest });
        }
    }

    asio::io_context& io;
    asio::steady_timer timer;
    WatchableObjectStorePtr store;
    ConfigurationPeers peers;
    Callbacks callbacks;
    InstanceId instance;
    DataCentreId dataCentre;
    ConfigurationFollower follower;
    std::vector<InstanceId> neighbours; // reachable peers in the same data centre
    bool stopped = false;
};

ConfigurationService::ConfigurationService(asio::io_context& io, const DaemonSettings& settings,
    WatchableObjectStorePtr store, ConfigurationPeers peers, Callbacks callbacks)
    : m_state(std::make_shared<State>(io, settings, std::move(store), std::move(peers), std::move(callbacks)))
{
}

ConfigurationService::~ConfigurationService()
{
    stop();
}

void ConfigurationService::start()
{
    m_state->scheduleWakeup();
}

void ConfigurationService::stop()
{
    m_state->stopped = true;
    m_state->timer.cancel();
}

std::uint64_t ConfigurationService::number() const
{
    return m_state->follower.number();
}

void ConfigurationService::handleMembers(const std::vector<Member>& members)
{
    PeersChanged changed;
    m_state->neighbours.clear();
    for (const auto& member : members) {
        if (member.id == m_state->instance || member.state == MemberState::Leaving) {
            continue;
        }
        bool reachable = member.state != MemberState::Dead;
        changed.peers.push_back({ member.id, member.dataCentre, reachable });
        if (reachable && member.dataCentre == m_state->dataCentre) {
            m_state->neighbours.push_back(member.id);
        }
    }
    m_state->dispatch(changed);
}

void ConfigurationService::handlePeerMessage(const InstanceId& from, std::string_view payload)
{
    auto message = decodeConfigurationMessage(payload);
    if (!message) {
        LogLine(LogLevel::Warning, "peer_message_refused")
            .add("from", from.value())
            .add("reason", message.error().message);
        return;
    }
    std::visit([&](const auto& it) { m_state->answer(from, it); }, *message);
}

void ConfigurationService::handleRumour(const Rumour& rumour)
{
    if (rumour.key != rumourKey) {
        return;
    }
    auto message = decodeConfigurationMessage(rumour.payload);
    if (const auto* notice = message ? std::get_if<HeadNotice>(&*message) : nullptr) {
        m_state->dispatch(PeerHeadHeard { std::nullopt, notice->number, notice->digest });
    }
}

} // namespace lagoonspoke
