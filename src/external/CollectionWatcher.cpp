#include "external/CollectionWatcher.h"

#include "lagoonspoke/core/Overload.h"
#include "observe/LogLine.h"

namespace lagoonspoke {

struct CollectionWatcher::State : std::enable_shared_from_this<State> {
    State(asio::io_context& context, std::string collectionName, ObjectCollectionPtr source,
        CollectionFollower::Options options, Callbacks serviceCallbacks)
        : io(context)
        , timer(context)
        , name(std::move(collectionName))
        , collection(std::move(source))
        , follower(options)
        , callbacks(std::move(serviceCallbacks))
    {
    }

    void execute(const std::vector<CollectionAction>& actions)
    {
        for (const auto& action : actions) {
            std::visit([this](const auto& it) { run(it); }, action);
        }
        scheduleWakeup();
    }

    void run(const ListCollection&) { asio::co_spawn(io, list(shared_from_this()), asio::detached); }
    void run(const WatchCollection& it) { asio::co_spawn(io, watch(shared_from_this(), it), asio::detached); }
    void run(const CollectionUpdated&) const { callbacks.updated(follower.items()); }
    void run(const CollectionReachable& it) const
    {
        LogLine(it.reachable ? LogLevel::Info : LogLevel::Warning, it.reachable ? "store_regained" : "store_lost")
            .add("collection", name)
            .add("revision", follower.revision())
            .add("error", it.reachable ? std::string() : lastError);
        if (callbacks.reachable) {
            callbacks.reachable(it.reachable);
        }
    }

    void feed(CollectionEvent event)
    {
        if (!stopped) {
            execute(follower.handle(std::move(event), readMonotonicClock()));
        }
    }

    // Feeds a reply of the store, and before it what the reply may show: the end of an outage.
    void feedReply(CollectionEvent event)
    {
        if (auto end = collection->lastOutageEnd()) {
            feed(CollectionStoreReturned { *end });
        }
        feed(std::move(event));
    }

    void fail(const Error& error)
    {
        lastError = error.message;
        feed(CollectionCallFailed { error });
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

    static asio::awaitable<void> list(std::shared_ptr<State> self)
    {
        auto items = co_await self->collection->list(false);
        if (items) {
            self->feedReply(CollectionListed { std::move(*items) });
        } else {
            self->fail(items.error());
        }
    }

    static asio::awaitable<void> watch(std::shared_ptr<State> self, WatchCollection call)
    {
        auto changes = co_await self->collection->watch(call.revision, call.wait);
        if (changes) {
            self->feedReply(CollectionWatched { std::move(*changes) });
        } else if (changes.error().code == ErrorCode::NotFound) {
            LogLine(LogLevel::Info, "history_lost").add("collection", self->name).add("revision", call.revision);
            self->feed(CollectionHistoryLost {});
        } else {
            self->fail(changes.error());
        }
    }

    asio::io_context& io;
    asio::steady_timer timer;
    std::string name;
    ObjectCollectionPtr collection;
    CollectionFollower follower;
    Callbacks callbacks;
    std::string lastError;
    bool stopped = false;
};

CollectionWatcher::CollectionWatcher(asio::io_context& io, std::string name, ObjectCollectionPtr collection,
    CollectionFollower::Options options, Callbacks callbacks)
    : m_state(std::make_shared<State>(io, std::move(name), std::move(collection), options, std::move(callbacks)))
{
}

CollectionWatcher::~CollectionWatcher()
{
    stop();
}

void CollectionWatcher::start()
{
    m_state->execute(m_state->follower.start(readMonotonicClock()));
}

void CollectionWatcher::stop()
{
    m_state->stopped = true;
    m_state->timer.cancel();
}

void CollectionWatcher::tell(CollectionEvent event)
{
    m_state->feed(std::move(event));
}

const CollectionFollower& CollectionWatcher::follower() const
{
    return m_state->follower;
}

} // namespace lagoonspoke
