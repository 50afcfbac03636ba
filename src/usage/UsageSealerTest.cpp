#include "usage/UsageSealer.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "lagoonspoke/core/Overload.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

constexpr Duration windowLength = 5s;
constexpr WindowNumber firstWindow = 100;

// One sealer with a store that answers at once, unless it is down.
class SealerBed {
public:
    SealerBed()
        : m_sealer(UsageSealer::Make(makeOptions()))
    {
        execute(m_sealer.handle(UsageClockRead { firstWindow, {} }, now()));
        execute(m_sealer.handle(UsageLeaseChanged { FencingToken(1) }, now()));
    }

    void know(std::set<InstanceId> instances)
    {
        execute(m_sealer.handle(UsageWritersKnown { std::move(instances) }, now()));
    }
    // The sealer loses the lease and gains it again, as a new holder would.
    void changeHolder()
    {
        execute(m_sealer.handle(UsageLeaseChanged {}, now()));
        execute(m_sealer.handle(UsageLeaseChanged { FencingToken(2) }, now()));
    }
    void copyStore() { m_copy = m_objects; }
    // The store comes back from its copy.
    void restoreStore()
    {
        m_objects = m_copy;
        execute(m_sealer.handle(UsageStoreRestored { ++m_restorations }, now()));
    }
    // A process of this machine or another one kept the seal that the store lost, and writes it again.
    void keepSeal(WindowNumber window) { execute(m_sealer.handle(UsageSealKept { window }, now())); }
    std::string sealOf(WindowNumber window) const { return m_objects.at(sealedWindowKey(window)); }
    void rewriteSeal(WindowNumber window, const std::string& value) { m_objects[sealedWindowKey(window)] = value; }
    // The record of a process of the instance on the window.
    void record(const std::string& instance, WindowNumber window, std::int64_t requests = 10)
    {
        InstanceId writer(instance + "~1");
        UsageFact fact;
        fact.window = window;
        fact.sequence = static_cast<std::uint64_t>(requests);
        fact.teams[TeamId(instance)] = { requests, 0, 0 };
        m_objects[usageRecordKey(window, writer)] = encodeUsageRecord({ writer, 0, { fact } });
    }
    void runUntil(Duration end)
    {
        for (; m_elapsed < end; m_elapsed += 100ms) {
            auto window = firstWindow + m_elapsed / windowLength;
            execute(m_sealer.handle(UsageClockRead { window, m_elapsed % windowLength }, now()));
        }
    }

    bool isSealed(WindowNumber window) const { return m_objects.contains(sealedWindowKey(window)); }
    bool isReported(WindowNumber window) const { return reported.contains(window); }

    bool down = false;
    std::map<WindowNumber, std::int64_t> reported; // requests
    std::map<WindowNumber, std::set<std::int64_t>> figures; // of all reports

private:
    static UsageSealer::Options makeOptions()
    {
        UsageSealer::Options options;
        options.grace = 5s;
        options.window = windowLength;
        options.latest = 7500ms;
        options.due = 10s;
        options.reportsWholeWindows = true;
        return options;
    }

    MonotonicTime now() const { return MonotonicTime(std::chrono::hours(1) + m_elapsed); }

    UsageAnswer answer(const ListUsageKeys& it)
    {
        UsageAnswer answer { it.call, UsageAnswer::Status::Done, {}, {} };
        for (const auto& [key, value] : m_objects) {
            if (key.starts_with(it.prefix)) {
                answer.entries.push_back({ key, 1 });
            }
        }
        return answer;
    }
    UsageAnswer answer(const ReadUsageObject& it)
    {
        auto object = m_objects.find(it.key);
        bool found = object != m_objects.end();
        return { it.call, found ? UsageAnswer::Status::Done : UsageAnswer::Status::Missing,
            found ? object->second : std::string(), {} };
    }
    UsageAnswer answer(const CreateUsageObject& it)
    {
        bool created = m_objects.emplace(it.key, it.value).second;
        return { it.call, created ? UsageAnswer::Status::Done : UsageAnswer::Status::Refused, {}, {} };
    }
    UsageAnswer answer(const RemoveUsageObject& it) { return { it.call, UsageAnswer::Status::Done, {}, {} }; }
    UsageAnswer answer(const SendUsageReport& it)
    {
        std::int64_t requests = 0;
        for (const auto& [team, sent] : it.report.teams) {
            requests += sent.requests;
        }
        reported[it.report.window] += requests;
        figures[it.report.window].insert(requests);
        return { it.call, UsageAnswer::Status::Done, {}, {} };
    }

    void execute(std::vector<UsageSealerAction> actions)
    {
        for (auto& action : actions) {
            auto reply = std::visit([&](const auto& it) { return answer(it); }, action);
            if (down) {
                reply = { reply.call, UsageAnswer::Status::Failed, {}, {} };
            }
            execute(m_sealer.handle(reply, now()));
        }
    }

    UsageSealer m_sealer;
    Duration m_elapsed {};
    std::map<std::string, std::string> m_objects;
    std::map<std::string, std::string> m_copy;
    std::uint64_t m_restorations = 0;
};

const InstanceId a("a");
const InstanceId b("b");

} // namespace

// Guards against a report that is late because the store was down at the end of the grace time, though all records had
// been there before.
TEST_CASE("A window whose records are complete is sealed before the grace time has passed")
{
    SealerBed bed;
    bed.know({ a, b });
    bed.runUntil(5300ms);
    bed.record("a", firstWindow);
    bed.record("b", firstWindow);
    bed.runUntil(8s);
    CHECK(bed.isSealed(firstWindow));
    bed.down = true;
    bed.runUntil(16s);
    CHECK(bed.reported[firstWindow] == 20);
}

// Guards against a seal without the record of an instance that is slow to write it.
TEST_CASE("A window without the record of a live instance is sealed after the grace time")
{
    SealerBed bed;
    bed.know({ a, b });
    bed.runUntil(5300ms);
    bed.record("a", firstWindow);
    bed.runUntil(9s);
    REQUIRE_FALSE(bed.isSealed(firstWindow));
    bed.record("b", firstWindow);
    bed.runUntil(10100ms);
    REQUIRE(bed.isSealed(firstWindow));
    CHECK(bed.reported[firstWindow] == 20);
}

// Guards against a seal between the death of an instance and the record that a holder of its copies writes.
TEST_CASE("After the death of an instance its copy holders have time to record its usage")
{
    SealerBed bed;
    bed.know({ a, b });
    bed.runUntil(5300ms);
    bed.record("a", firstWindow);
    bed.runUntil(7800ms);
    bed.know({ a });
    bed.runUntil(8800ms);
    REQUIRE_FALSE(bed.isSealed(firstWindow));
    bed.record("b", firstWindow);
    bed.runUntil(11s);
    CHECK(bed.reported[firstWindow] == 20);
}

// Guards against a sealer that waits for ever for an instance that never counts anything.
TEST_CASE("A window with no record at all is sealed after the grace time")
{
    SealerBed bed;
    bed.know({ a, b });
    bed.runUntil(9900ms);
    REQUIRE_FALSE(bed.isSealed(firstWindow));
    bed.runUntil(10100ms);
    REQUIRE(bed.isSealed(firstWindow));
}

// Guards against a report without any figures: after an outage, a window that was late already was sealed before the
// instances could write their records.
TEST_CASE("A window that is late already waits for its records")
{
    SealerBed bed;
    bed.know({ a, b });
    bed.runUntil(5200ms);
    bed.down = true;
    bed.runUntil(16s);
    bed.down = false;
    bed.runUntil(17s);
    REQUIRE_FALSE(bed.isSealed(firstWindow));
    bed.record("a", firstWindow);
    bed.record("b", firstWindow);
    bed.record("a", firstWindow + 1);
    bed.record("b", firstWindow + 1);
    bed.runUntil(18500ms);
    CHECK(bed.reported[firstWindow] == 20);
    CHECK(bed.reported[firstWindow + 1] == 20);
}

// Guards against a seal right after an outage, or after a change of the lease's holder, when the instances repeat their
// writes within a second: such a window was reported with 53 of 478 requests, and the rest spoiled the next two.
TEST_CASE("After an outage a window waits for its records until shortly before its report is due")
{
    for (bool newHolder : { false, true }) {
        SealerBed bed;
        bed.know({ a, b });
        bed.runUntil(5200ms);
        bed.down = true;
        bed.runUntil(13900ms);
        bed.down = false;
        if (newHolder) {
            bed.changeHolder();
        }
        bed.runUntil(14200ms);
        CHECK_FALSE(bed.isSealed(firstWindow));
        bed.record("a", firstWindow);
        bed.record("b", firstWindow);
        bed.runUntil(14900ms);
        CHECK(bed.reported[firstWindow] == 20);
    }
}

// Guards against a report that is late because a record never comes.
TEST_CASE("After an outage a window without records is still reported in time")
{
    SealerBed bed;
    bed.know({ a, b });
    bed.runUntil(5200ms);
    bed.down = true;
    bed.runUntil(13500ms);
    bed.down = false;
    bed.record("a", firstWindow);
    bed.runUntil(15s);
    CHECK(bed.reported[firstWindow] == 10);
}

// Guards against windows that are late one after the other because the first waits for a record that never comes.
TEST_CASE("A window that is late already does not make the next one late")
{
    SealerBed bed;
    bed.know({ a, b });
    bed.runUntil(5200ms);
    bed.down = true;
    bed.runUntil(16s);
    bed.down = false;
    bed.record("a", firstWindow);
    bed.runUntil(17400ms);
    REQUIRE_FALSE(bed.isSealed(firstWindow));
    bed.runUntil(20s);
    CHECK(bed.reported[firstWindow] == 10);
    CHECK(bed.isReported(firstWindow + 1));
}

// Guards against a window that is reported twice with other figures, because the store lost its seal and the facts that
// it contained.
TEST_CASE("A window whose seal a restored store lost is not counted anew")
{
    SealerBed bed;
    bed.know({ a });
    bed.runUntil(4s);
    bed.copyStore();
    bed.runUntil(5100ms);
    bed.record("a", firstWindow, 10);
    bed.runUntil(8s);
    CHECK(bed.figures[firstWindow] == std::set<std::int64_t> { 10 });
    auto seal = bed.sealOf(firstWindow);
    bed.restoreStore();
    bool isKept = GENERATE(false, true);
    if (isKept) {
        bed.keepSeal(firstWindow);
        bed.runUntil(9s);
        bed.rewriteSeal(firstWindow, seal);
    } else {
        bed.changeHolder();
    }
    for (WindowNumber window : { firstWindow, firstWindow + 1, firstWindow + 2 }) {
        bed.record("a", window, 7);
    }
    bed.runUntil(30s);
    CHECK(bed.figures[firstWindow] == std::set<std::int64_t> { 10 });
    CHECK(bed.figures[firstWindow + 1] == std::set<std::int64_t> { 7 });
    CHECK(bed.figures[firstWindow + 2] == std::set<std::int64_t> { 7 });
}

// Guards against windows that nobody reports, because the holder of before the restoration mistrusts its own memory.
TEST_CASE("A holder that keeps its lease through a restoration reports the windows that it had not sealed")
{
    SealerBed bed;
    bed.know({ a });
    bed.runUntil(4s);
    bed.copyStore();
    bed.runUntil(6s);
    bed.restoreStore();
    bed.record("a", firstWindow, 10);
    bed.runUntil(15s);
    CHECK(bed.figures[firstWindow] == std::set<std::int64_t> { 10 });
}

// Guards against a sealer that takes over in the middle of the windows that are not to be reported.
TEST_CASE("The windows that are withheld are stored with the seals")
{
    SealedWindow sealed;
    sealed.window = 7;
    sealed.restorations = 2;
    sealed.withheldUntil = 9;
    CHECK(decodeSealedWindow(encodeSealedWindow(sealed)).value() == sealed);
    CHECK(sealed.isWithheld());
    CHECK_FALSE(decodeSealedWindow("window 7 2\nend\n"));
    CHECK(decodeSealedWindow("window 7\nend\n").value().restorations == 0);
}

} // namespace lagoonspoke
