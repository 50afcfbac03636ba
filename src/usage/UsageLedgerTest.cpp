#include "usage/UsageLedger.h"

#include <memory>

#include <catch2/catch.hpp>

#include "lagoonspoke/core/Overload.h"
#include "usage/UsageObjects.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

MonotonicTime at(Duration time)
{
    return MonotonicTime(time);
}

const UsageAcknowledged* findAcknowledged(const std::vector<UsageLedgerAction>& actions)
{
    for (const auto& action : actions) {
        if (const auto* it = std::get_if<UsageAcknowledged>(&action)) {
            return it;
        }
    }
    return nullptr;
}

// A ledger with a record that is already late, beside a store in which each window of one second is sealed 80 ms after
// the end of the next one.
class LateRecord {
public:
    // The ledger learns of the death at this time of the second.
    explicit LateRecord(Duration phase)
        : m_now(20s + phase)
    {
        UsageLedger::Options options;
        options.writer = InstanceId("a");
        options.sealPollInterval = 1500ms;
        m_ledger = std::make_unique<UsageLedger>(UsageLedger::Make(options));
        drive(UsageWindowOpened { 13 });
        UsageFact fact { 13, 10, false, { { TeamId("t"), { 10, 0, 200 } } } };
        drive(UsageMessageReceived { InstanceId("d"), UsageCopy { dead, 0, 10, 13, false, { fact } } });
        drive(InstanceDied { InstanceId("d") });
    }

    // Time until a seal contains the record.
    Duration settle(Duration bound)
    {
        auto start = m_now;
        while (m_now < start + bound && !m_sealed) {
            m_now += 10ms;
            drive(UsageWindowOpened { windowNow() });
        }
        return m_now - start;
    }

private:
    static inline const InstanceId dead { "d~1" };

    WindowNumber windowNow() const { return static_cast<WindowNumber>(m_now / 1s); }
    bool isSealed(WindowNumber window) const { return m_now >= (window + 2) * 1s + 80ms; }

    void drive(const UsageLedgerEvent& event)
    {
        for (auto& action : m_ledger->handle(event, at(m_now))) {
            std::visit(Overload {
                           [&](CreateUsageObject& it) { answer(it); },
                           [&](ReadUsageObject& it) { answer(it); },
                           [](auto&) {},
                       },
                action);
        }
    }
    void answer(const CreateUsageObject& it)
    {
        auto window = parseUsageKey(it.key)->window;
        m_sealed = m_sealed || !isSealed(window);
        drive(UsageAnswer { it.call, UsageAnswer::Status::Done, {}, {} });
    }
    void answer(const ReadUsageObject& it)
    {
        SealedWindow sealed;
        sealed.window = parseUsageKey(it.key)->window;
        auto status = isSealed(sealed.window) ? UsageAnswer::Status::Done : UsageAnswer::Status::Missing;
        drive(UsageAnswer { it.call, status, encodeSealedWindow(sealed), {} });
    }

    Duration m_now;
    std::unique_ptr<UsageLedger> m_ledger;
    bool m_sealed = false; // the record is in a window that will be sealed
};

UsageLedger makeLedger()
{
    UsageLedger::Options options;
    options.writer = InstanceId("a");
    auto ledger = UsageLedger::Make(options);
    ledger.handle(UsageWindowOpened { 7 }, at(0s));
    ledger.handle(CopyHoldersChanged { { InstanceId("b"), InstanceId("c") } }, at(0s));
    return ledger;
}

} // namespace

TEST_CASE("A response's last bytes wait until one copy holder has its usage")
{
    auto ledger = makeLedger();
    CHECK(findAcknowledged(ledger.handle(UsageCounted { TeamId("t"), { 1, 2, 3 }, 41 }, at(1s))) == nullptr);
    CHECK(findAcknowledged(ledger.advance(at(1040ms))) == nullptr);
    auto actions
        = ledger.handle(UsageMessageReceived { InstanceId("c"), UsageCopyAck { InstanceId("a"), 1 } }, at(1041ms));
    REQUIRE(findAcknowledged(actions) != nullptr);
    CHECK(findAcknowledged(actions)->waiter == 41);
    CHECK(findAcknowledged(actions)->copied);
}

TEST_CASE("A response does not wait longer than 50 ms for copy holders that do not answer")
{
    auto ledger = makeLedger();
    ledger.handle(UsageCounted { TeamId("t"), { 1, 2, 3 }, 41 }, at(1s));
    CHECK(ledger.nextWakeup() == at(1050ms));
    auto actions = ledger.advance(at(1050ms));
    REQUIRE(findAcknowledged(actions) != nullptr);
    CHECK_FALSE(findAcknowledged(actions)->copied);
}

TEST_CASE("A holder that lost its copies does not claim to have what it was sent before")
{
    UsageCopies copies;
    UsageCopy copy { InstanceId("a"), 5, 6, 0, false, { { 7, 6, false, { { TeamId("t"), { 1, 1, 1 } } } } } };
    CHECK(copies.accept(InstanceId("a"), copy).sequence == 0);
    copy.base = 0;
    CHECK(copies.accept(InstanceId("a"), copy).sequence == 6);
}

TEST_CASE("Usage objects survive their text form, also with names that contain spaces")
{
    UsageFact fact { 7, 12, true, { { TeamId("two words"), { 1, 2, 3 } }, { TeamId("t"), { 4, 5, 6 } } } };
    UsageWindowRecord record { InstanceId("a~1"), 6, { fact, { 8, 13, false, {} } } };
    CHECK(decodeUsageRecord(encodeUsageRecord(record)) == record);
    SealedWindow sealed { 9, fact.teams, { { InstanceId("a~1"), { 6, { { 7, fact } } } }, { InstanceId("b"), {} } } };
    CHECK(decodeSealedWindow(encodeSealedWindow(sealed)) == sealed);
}

TEST_CASE("A usage object that was cut off is not read as a smaller one")
{
    UsageFact fact { 7, 12, true, { { TeamId("t"), { 4, 5, 60 } } } };
    auto text = encodeUsageRecord({ InstanceId("a"), 6, { fact } });
    for (std::size_t n = 0; n < text.size(); ++n) {
        CHECK_FALSE(decodeUsageRecord(text.substr(0, n)));
    }
}

// Guards against a late record that chases the seals for ever: with polls in step with the windows, each one asked for
// the newest seal in the moment before it was there.
TEST_CASE("A late record gets into a seal whenever its writer's death is noticed")
{
    for (auto phase = 0ms; phase < 1s; phase += 10ms) {
        INFO("phase " << phase.count() << " ms");
        CHECK(LateRecord(phase).settle(60s) <= 10s);
    }
}

// Guards against windows that lack an instance's usage: the store turned one instance away for eight seconds, and its
// peers, which had the copies, waited for it.
TEST_CASE("Copy holders record the usage of an instance that the store turns away")
{
    auto ledger = makeLedger();
    ledger.handle(UsageCounted { TeamId("t"), { 1, 2, 3 }, 41 }, at(1s));
    auto isTakenOver = [](const std::vector<UsageLedgerAction>& actions) {
        std::optional<bool> leaving;
        for (const auto& action : actions) {
            const auto* send = std::get_if<SendUsageMessage>(&action);
            if (const auto* copy = send ? std::get_if<UsageCopy>(&send->message) : nullptr) {
                leaving = copy->leaving;
            }
        }
        return leaving;
    };
    auto findCreation = [](const std::vector<UsageLedgerAction>& actions) -> std::optional<std::uint64_t> {
        for (const auto& action : actions) {
            if (const auto* create = std::get_if<CreateUsageObject>(&action)) {
                return create->call;
            }
        }
        return std::nullopt;
    };
    auto call = findCreation(ledger.handle(UsageWindowOpened { 8 }, at(2s)));
    REQUIRE(call);
    auto refused = ledger.handle(UsageAnswer { *call, UsageAnswer::Status::Failed, {}, {} }, at(2010ms));
    CHECK(isTakenOver(refused) == true);
    call = findCreation(ledger.advance(at(4s)));
    REQUIRE(call);
    auto stored = ledger.handle(UsageAnswer { *call, UsageAnswer::Status::Done, {}, {} }, at(4010ms));
    CHECK(isTakenOver(stored) == false);
}

// Guards against windows that lack an instance's usage one after the other: a late fact had taken the key of the next
// window's record, whose own facts then went into the window after it.
TEST_CASE("A fact that missed its seals leaves the next window's record to that window's facts")
{
    const InstanceId a("a~1");
    auto makeFact = [](WindowNumber window, std::uint64_t sequence) {
        return UsageFact { window, sequence, true, { { TeamId("t"), { 1, 0, 0 } } } };
    };
    UsagePublisher publisher;
    publisher.add(a, makeFact(7, 1));
    publisher.handleStored(*publisher.nextRecord(8));
    publisher.handleSeal({ 7, {}, {} });
    publisher.handleStored(*publisher.nextRecord(9));
    publisher.handleSeal({ 8, {}, {} });
    auto carried = publisher.nextRecord(9); // window 9 is open
    REQUIRE(carried);
    publisher.handleStored(*carried);
    publisher.add(a, makeFact(9, 2));
    auto own = publisher.nextRecord(10);
    REQUIRE(own);
    CHECK(own->key == 9);
    CHECK(own->record.facts == std::vector { makeFact(9, 2) });
    CHECK(own->objectKey() != carried->objectKey());
}

// Guards against usage that is never billed, because the store lost its record before any seal contained it.
TEST_CASE("Records that no seal contains are written again to a restored store")
{
    UsagePublisher publisher;
    publisher.add(InstanceId("a"), { 7, 10, true, {} });
    auto record = publisher.nextRecord(8);
    REQUIRE(record);
    publisher.handleStored(*record);
    CHECK_FALSE(publisher.nextRecord(8));
    publisher.forgetStored();
    auto again = publisher.nextRecord(8);
    REQUIRE(again);
    CHECK(again->objectKey() == record->objectKey());
}

} // namespace lagoonspoke
