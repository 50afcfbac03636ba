#include "daemon/DocumentService.h"

#include "daemon/DocumentCopy.h"
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

// At the start the store's document is not used before the copy was read, so that an older one is never in force; but
// for no longer than this.
constexpr Duration longestHold = std::chrono::seconds(1);

DocumentFollower makeFollower(const InstanceId& instance, DecodeDocument decode)
{
    DocumentFollower::Options options;
    options.seed
        = stableHash(instance.value(), static_cast<std::uint64_t>(readMonotonicClock().time_since_epoch().count()));
    return { options, std::move(decode) };
}

} // namespace

struct DocumentService::State : std::enable_shared_from_this<State> {
    State(asio::io_context& context, Options serviceOptions, DecodeDocument decode, ConfigurationPeers servicePeers,
        ConfigurationService::Callbacks serviceCallbacks)
        : timer(context)
        , holdTimer(context)
        , options(std::move(serviceOptions))
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
        copy->keep();
    }

    void takeStored(std::string text)
    {
        if (!std::exchange(storeRead, true) && !copyRead) {
            holdTimer.expires_after(longestHold);
            holdTimer.async_wait([self = shared_from_this()](error_code ec) {
                if (!ec && !self->stopped) {
                    self->copyRead = true;
                    self->useStored();
                }
            });
        }
        stored = std::move(text);
        useStored();
    }

    // Feeds what the store has: the copy, if it is newer, and the document.
    void useStored()
    {
        if (!storeRead || !copyRead) {
            return;
        }
        if (auto kept = std::exchange(unusedCopy, std::nullopt)) {
            if (kept->number > follower.numberOf(stored)) {
                feed(DocumentReceived { options.instance, std::move(kept->text) });
            } else {
                copy->remove();
            }
        }
        if (!stored.empty()) {
            feed(DocumentRead { stored });
        }
    }

    void send(const InstanceId& to, const ConfigurationMessage& message) const
    {
        if (peers.send) {
            peers.send(to, encodeConfigurationMessage(message));
        }
    }

    asio::steady_timer timer;
    asio::steady_timer holdTimer;
    Options options;
    ConfigurationPeers peers;
    ConfigurationService::Callbacks callbacks;
    DocumentFollower follower;
    std::unique_ptr<CollectionWatcher> watcher;
    std::unique_ptr<DocumentCopy> copy;
    bool copyRead = false;
    std::optional<DocumentCopy::Document> unusedCopy;
    bool storeRead = false;
    std::string stored; // empty where the store has no document
    bool stopped = false;
};

DocumentService::DocumentService(asio::io_context& io, Options options, ObjectCollectionPtr collection,
    ObjectStorePtr store, DecodeDocument decode, ConfigurationPeers peers, ConfigurationService::Callbacks callbacks)
    : m_state(std::make_shared<State>(io, options, std::move(decode), std::move(peers), std::move(callbacks)))
{
    CollectionWatcher::Callbacks watched;
    watched.updated = [state = m_state.get()](const std::map<std::string, std::string>& items) {
        state->feed(DocumentStoreReachable { true });
        auto it = items.find(state->options.name);
        state->takeStored(it == items.end() ? std::string() : it->second);
    };
    DocumentCopy::Callbacks copied;
    copied.numberOf = [state = m_state.get()](std::string_view text) { return state->follower.numberOf(text); };
    copied.inForce = [state = m_state.get()] {
        return DocumentCopy::Document { state->follower.number(), state->follower.text() };
    };
    copied.read = [state = m_state.get()](std::optional<DocumentCopy::Document> document) {
        state->copyRead = true;
        state->unusedCopy = std::move(document);
        state->useStored();
    };
    m_state->copy
        = std::make_unique<DocumentCopy>(io, m_state->options.name, collection, std::move(store), std::move(copied));
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
    m_state->copy->start();
    m_state->watcher->start();
    m_state->scheduleWakeup();
}

void DocumentService::stop()
{
    m_state->stopped = true;
    m_state->timer.cancel();
    m_state->holdTimer.cancel();
    m_state->copy->stop();
    m_state->watcher->stop();
}

void DocumentService::setRole(bool reads, WatchTurn turn, std::vector<InstanceId> recipients)
{
    m_state->watcher->tell(CollectionRoleChanged { reads, turn });
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
