#include "external/TicketSubmitter.h"

#include <set>

namespace lagoonspoke {

namespace {

Outcome<StoredValue> toStoredValue(Outcome<StoredObject> outcome)
{
    return outcome.map([](StoredObject& it) { return StoredValue { std::move(it.value), it.version }; });
}

// Executes one call of the submission and gives the event that answers it.
asio::awaitable<SubmissionEvent> execute(ObjectStoreClient store, SubmissionAction action)
{
    if (auto* get = std::get_if<GetObject>(&action)) {
        auto outcome = co_await store.get(std::move(get->key));
        co_return ObjectRead { toStoredValue(std::move(outcome)) };
    }
    if (auto* create = std::get_if<CreateObject>(&action)) {
        auto outcome = co_await store.create(std::move(create->key), std::move(create->value));
        co_return ObjectWritten { std::move(outcome) };
    }
    auto& update = std::get<UpdateObject>(action);
    auto outcome = co_await store.update(std::move(update.key), std::move(update.value), update.version);
    co_return ObjectWritten { std::move(outcome) };
}

} // namespace

asio::awaitable<SubmittedTicket> submitTicket(ObjectStoreClient store, Ticket ticket, TicketSubmission::Options options)
{
    auto submission = TicketSubmission::Make(std::move(ticket), options);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    auto actions = submission.handle(SubmissionStarted {}, readMonotonicClock());
    while (true) {
        if (actions.empty()) {
            timer.expires_after(*submission.nextWakeup() - readMonotonicClock());
            co_await timer.async_wait(useTuple);
            actions = submission.advance(readMonotonicClock());
            continue;
        }
        auto action = std::move(actions.front());
        if (auto* finished = std::get_if<FinishSubmission>(&action)) {
            co_return SubmittedTicket { std::move(finished->result), submission.configuration() };
        }
        auto event = co_await execute(store, std::move(action));
        actions = submission.handle(event, readMonotonicClock());
    }
}

asio::awaitable<Outcome<ConfigurationHead>> readStoredHead(ObjectStoreClient store)
{
    auto object = co_await store.get(std::string(headKey));
    if (object) {
        co_return readHead(object->value);
    }
    if (object.error().code == ErrorCode::NotFound) {
        co_return makeInitialHead();
    }
    co_return tl::make_unexpected(object.error());
}

asio::awaitable<Outcome<StoredConfiguration>> readConfiguration(ObjectStoreClient store)
{
    auto head = co_await readStoredHead(store);
    if (!head) {
        co_return tl::make_unexpected(head.error());
    }
    auto empty = emptyShardText();
    BlobMap blobs;
    blobs.emplace(digestContent(empty), empty);
    for (const auto& digest : head->shards) {
        if (blobs.contains(digest)) {
            continue;
        }
        auto blob = co_await store.get(blobKey(digest));
        if (!blob) {
            co_return tl::make_unexpected(blob.error());
        }
        blobs.emplace(digest, std::move(blob->value));
    }
    auto configuration = readShards(*head, blobs);
    if (!configuration) {
        co_return makeError(ErrorCode::ProtocolViolation, formatErrors(configuration.error()));
    }
    co_return StoredConfiguration { std::move(*head), std::move(*configuration) };
}

} // namespace lagoonspoke
