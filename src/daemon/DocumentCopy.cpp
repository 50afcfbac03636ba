#include "daemon/DocumentCopy.h"

#include <algorithm>

#include "observe/LogLine.h"

namespace lagoonspoke {

namespace {

// After a call that failed, twice as long each time.
constexpr Duration shortestPause = std::chrono::milliseconds(100);
constexpr Duration longestPause = std::chrono::seconds(3);

} // namespace

struct DocumentCopy::State : std::enable_shared_from_this<State> {
    State(asio::io_context& context, std::string documentName, ObjectCollectionPtr documents,
        ObjectStorePtr objectStore, Callbacks given)
        : io(context)
        , name(std::move(documentName))
        , key("document/" + name)
        , collection(std::move(documents))
        , store(std::move(objectStore))
        , callbacks(std::move(given))
    {
    }

    static asio::awaitable<void> read(std::shared_ptr<State>);
    static asio::awaitable<void> keep(std::shared_ptr<State>);
    static asio::awaitable<void> remove(std::shared_ptr<State>);
    // Whether nothing is left to do for the document.
    asio::awaitable<bool> storeCopy(Document);
    // The number of the document in the store; 0 where it has none.
    asio::awaitable<Outcome<std::uint64_t>> readStoredNumber();
    asio::awaitable<void> pause(Duration&);

    asio::io_context& io;
    std::string name;
    std::string key;
    ObjectCollectionPtr collection;
    ObjectStorePtr store;
    Callbacks callbacks;
    std::optional<std::uint64_t> version; // of the copy that was read at the start
    bool keeping = false;
    bool stopped = false;
};

asio::awaitable<void> DocumentCopy::State::pause(Duration& duration)
{
    duration = std::clamp(duration * 2, shortestPause, longestPause);
    asio::steady_timer wait(io, duration);
    co_await wait.async_wait(useTuple);
}

asio::awaitable<void> DocumentCopy::State::read(std::shared_ptr<State> state)
{
    Duration wait {};
    while (!state->stopped) {
        auto copy = co_await state->store->get(state->key);
        bool hasAnswer
            = copy || copy.error().code == ErrorCode::NotFound || copy.error().code == ErrorCode::ProtocolViolation;
        if (hasAnswer && !state->stopped) {
            std::optional<Document> document;
            if (copy) {
                state->version = copy->version;
                document = Document { state->callbacks.numberOf(copy->value), copy->value };
                LogLine(LogLevel::Info, "configuration_copy_read")
                    .add("document", state->name)
                    .add("number", document->number);
            }
            state->callbacks.read(std::move(document));
            co_return;
        }
        co_await state->pause(wait);
    }
}

asio::awaitable<Outcome<std::uint64_t>> DocumentCopy::State::readStoredNumber()
{
    auto list = co_await collection->list(false);
    if (!list) {
        co_return tl::make_unexpected(list.error());
    }
    if (stopped) {
        co_return 0;
    }
    auto it = std::ranges::find(list->items, name, &CollectionItem::name);
    if (it == list->items.end() && !list->isComplete) {
        co_return makeError(ErrorCode::ProtocolViolation, "the list of documents is incomplete");
    }
    co_return it == list->items.end() ? 0 : callbacks.numberOf(it->value);
}

asio::awaitable<bool> DocumentCopy::State::storeCopy(Document document)
{
    auto stored = co_await readStoredNumber();
    if (stopped || !stored || *stored >= document.number) {
        co_return stored.has_value();
    }
    auto copy = co_await store->get(key);
    if (stopped) {
        co_return true;
    }
    if (copy && callbacks.numberOf(copy->value) >= document.number) {
        co_return true;
    }
    std::optional<Error> error;
    if (copy || copy.error().code == ErrorCode::NotFound) {
        auto written
            = co_await store->write(key, std::move(document.text), copy ? std::optional(copy->version) : std::nullopt);
        error = written ? std::nullopt : std::optional(written.error());
    } else {
        error = copy.error();
    }
    LogLine(error ? LogLevel::Warning : LogLevel::Info, "configuration_copy_stored")
        .add("document", name)
        .add("number", document.number)
        .add("error", error ? error->message : std::string());
    co_return !error;
}

asio::awaitable<void> DocumentCopy::State::keep(std::shared_ptr<State> state)
{
    Duration wait {};
    while (!state->stopped) {
        bool done = co_await state->storeCopy(state->callbacks.inForce());
        if (done) {
            break;
        }
        co_await state->pause(wait);
    }
    state->keeping = false;
}

asio::awaitable<void> DocumentCopy::State::remove(std::shared_ptr<State> state)
{
    auto version = *std::exchange(state->version, std::nullopt);
    // Another instance may have removed it, or stored a newer one.
    co_await state->store->remove(state->key, version);
}

DocumentCopy::DocumentCopy(
    asio::io_context& io, std::string name, ObjectCollectionPtr collection, ObjectStorePtr store, Callbacks callbacks)
    : m_state(
        std::make_shared<State>(io, std::move(name), std::move(collection), std::move(store), std::move(callbacks)))
{
}

DocumentCopy::~DocumentCopy()
{
    stop();
}

void DocumentCopy::start()
{
    asio::co_spawn(m_state->io, State::read(m_state), asio::detached);
}

void DocumentCopy::stop()
{
    m_state->stopped = true;
}

void DocumentCopy::keep()
{
    if (!m_state->stopped && !std::exchange(m_state->keeping, true)) {
        asio::co_spawn(m_state->io, State::keep(m_state), asio::detached);
    }
}

void DocumentCopy::remove()
{
    if (!m_state->stopped && m_state->version) {
        asio::co_spawn(m_state->io, State::remove(m_state), asio::detached);
    }
}

} // namespace lagoonspoke
