#include "daemon/DocumentService.h"

#include "external/CollectionWatcher.h"
#include "lagoonspoke/core/Digest.h"
#include "lagoonspoke/core/Overload.h"
#include "membership/Rendezvous.h"
#include "observe/LogLine.h"
#include "wire/ConfigurationCodec.h"

namespace lagoonspoke {

namespace {

// Peers exchange documents as blobs; an instance has just one, so a request needs no digest.
const ContentDigest wantedDocument { std::string(64, '0') };

// Of the reads and writes of the copy.
constexpr Duration retryPause = std::chrono::milliseconds(200);
// Other instances that keep the copy may come first.
constexpr int mostKeepAttempts = 5;

DocumentFollower makeFollower(const InstanceId& instance, DecodeDocument decode)
{
    DocumentFollower::Options options;
    options.seed
        = stableHash(instance.value(), static_cast<std::uint64_t>(readMonotonicClock().time_since_epoch().count()));
    return { options, std::move(decode) };
}

} // namespace

struct DocumentService::State : std::enable_shared_from_this<State> {
    State(asio::io_context& context, Options serviceOptions, ObjectStorePtr objectStore, DecodeDocument decode,
        ConfigurationPeers servicePeers, ConfigurationService::Callbacks serviceCallbacks)
        : io(context)
        , timer(context)
        , options(std::move(serviceOptions))
        , copyKey("document/" + options.name)
        , store(std::move(objectStore))
        , peers(std::move(servicePeers))
        , callbacks(std::move(serviceCallbacks))
        , follower(makeFollower(options.instance, std::move(decode)))
    {
    }

    void feed(const DocumentEvent& event)
    {
        if (!stopped) {
            execute(follower.handle(event, readMonotonicClock()));
        }
    }

    void execute(std::vector<DocumentAction> actions)
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

    void run(ApplyDocument& it)
    {
        LogLine(LogLevel::Info, "configuration_applied")
            .add("number", it.snapshot->number())
            .add("routes", it.snapshot->configuration().routes.size())
            .add("teams", it.snapshot->configuration().teams.size());
        callbacks.applySnapshot(std::move(it.snapshot));
        callbacks.setKeyedAdmission(true);
    }
    void run(const TellNumber& it) const
    {
        for (const auto& peer : it.peers) {
            send(peer, HeadNotice { it.number, {}, it.replyWanted });
        }
    }
    void run(const AskForDocument& it) const
    {
        BlobRequest request;
        request.digests.push_back(wantedDocument);
        send(it.peer, request);
    }
    void run(const SendDocument& it) const { send(it.peer, BlobReply { wantedDocument, it.text }); }
    void run(const ReportInvalidDocument& it) const
    {
        for (const auto& error : it.errors) {
            LogLine(LogLevel::Error, "configuration_refused")
                .add("document", options.name)
                .add("in_force", follower.number())
                .add("path", error.path)
                .add("reason", error.message);
        }
    }

    void run(KeepDocument& it)
    {
        LogLine(LogLevel::Warning, "configuration_older_in_store")
            .add("document", options.name)
            .add("number", it.storedNumber)
            .add("in_force", it.number);
        if (!std::exchange(keeping, true)) {
            asio::co_spawn(io, keep(shared_from_this(), it.number, std::move(it.text)), asio::detached);
        }
    }

    static asio::awaitable<void> keep(std::shared_ptr<State>, std::uint64_t number, std::string text);
    // Reads the copy before the document is followed, so that an older one is never in force.
    static asio::awaitable<void> start(std::shared_ptr<State>);
    static asio::awaitable<void> pause(asio::io_context&);

    void send(const InstanceId& to, const ConfigurationMessage& message) const
    {
        if (peers.send) {
            peers.send(to, encodeConfigurationMessage(message));
        }
    }

    asio::io_context& io;
    asio::steady_timer timer;
    Options options;
    std::string copyKey;
    ObjectStorePtr store;
    ConfigurationPeers peers;
    ConfigurationService::Callbacks callbacks;
    DocumentFollower follower;
    std::unique_ptr<CollectionWatcher> watcher;
    bool keeping = false;
    bool stopped = false;
};

asio::awaitable<void> DocumentService::State::pause(asio::io_context& context)
{
    asio::steady_timer wait(context, retryPause);
    co_await wait.async_wait(useTuple);
}

asio::awaitable<void> DocumentService::State::keep(std::shared_ptr<State> state, std::uint64_t number, std::string text)
{
    for (int i = 0; i < mostKeepAttempts && !state->stopped; ++i) {
        auto stored = co_await state->store->get(state->copyKey);
        if (stored && state->follower.numberOf(stored->value) >= number) {
            break;
        }
        std::optional<std::uint64_t> version;
        std::optional<Error> error;
        if (stored) {
            version = stored->version;
        } else if (stored.error().code != ErrorCode::NotFound) {
            error = stored.error();
        }
        if (!error) {
            auto written = co_await state->store->write(state->copyKey, text, version);
            error = written ? std::nullopt : std::optional(written.error());
        }
        LogLine(error ? LogLevel::Warning : LogLevel::Info, "configuration_copy_stored")
            .add("document", state->options.name)
            .add("number", number)
            .add("error", error ? error->message : std::string());
        if (!error) {
            break;
        }
        co_await pause(state->io);
    }
    state->keeping = false;
}

asio::awaitable<void> DocumentService::State::start(std::shared_ptr<State> state)
{
    while (!state->stopped) {
        auto copy = co_await state->store->get(state->copyKey);
        if (copy) {
            LogLine(LogLevel::Info, "configuration_copy_read")
                .add("document", state->options.name)
                .add("number", state->follower.numberOf(copy->value));
            state->feed(DocumentReceived { state->options.instance, std::move(copy->value) });
        }
        if (copy || copy.error().code == ErrorCode::NotFound || copy.error().code == ErrorCode::ProtocolViolation) {
            break;
        }
        co_await pause(state->io);
    }
    if (!state->stopped) {
        state->watcher->start();
    }
}

DocumentService::DocumentService(asio::io_context& io, Options options, ObjectCollectionPtr collection,
    ObjectStorePtr store, DecodeDocument decode, ConfigurationPeers peers, ConfigurationService::Callbacks callbacks)
    : m_state(std::make_shared<State>(
        io, options, std::move(store), std::move(decode), std::move(peers), std::move(callbacks)))
{
    CollectionWatcher::Callbacks watched;
    watched.updated = [state = m_state.get()](const std::map<std::string, std::string>& items) {
        state->feed(DocumentStoreReachable { true });
        if (auto it = items.find(state->options.name); it != items.end()) {
            state->feed(DocumentRead { it->second });
        }
    };
    watched.reachable = [state = m_state.get()](bool reachable) { state->feed(DocumentStoreReachable { reachable }); };
    m_state->watcher = std::make_unique<CollectionWatcher>(
        io, "configuration", std::move(collection), options.follower, std::move(watched));
}

DocumentService::~DocumentService()
{
    stop();
}

void DocumentService::start()
{
    asio::co_spawn(m_state->io, State::start(m_state), asio::detached);
    m_state->scheduleWakeup();
}

void DocumentService::stop()
{
    m_state->stopped = true;
    m_state->timer.cancel();
    m_state->watcher->stop();
}

void DocumentService::setRole(bool reads, std::vector<InstanceId> recipients)
{
    m_state->watcher->tell(CollectionRoleChanged { reads });
    m_state->feed(DocumentRoleChanged { reads, std::move(recipients) });
}

void DocumentService::handleMembers(const std::vector<Member>& members)
{
    m_state->feed(DocumentPeersChanged { listOthers(members, m_state->options.instance) });
}

void DocumentService::handlePeerMessage(const InstanceId& from, std::string_view payload)
{
    auto message = decodeConfigurationMessage(payload);
    if (!message) {
        LogLine(LogLevel::Warning, "peer_message_refused")
            .add("from", from.value())
            .add("reason", message.error().message);
        return;
    }
    std::visit(Overload {
                   [&](const HeadNotice& it) {
                       m_state->feed(DocumentNumberHeard { from, it.number, it.replyWanted });
                   },
                   [&](const BlobRequest&) { m_state->feed(DocumentWanted { from }); },
                   [&](const BlobReply& it) {
                       if (it.content) {
                           m_state->feed(DocumentReceived { from, *it.content });
                       }
                   },
               },
        *message);
}

} // namespace lagoonspoke
