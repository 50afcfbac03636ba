#include "tools/ctl/LogStory.h"

#include <sstream>

#include <catch2/catch.hpp>

namespace lagoonspoke {

namespace {

std::vector<std::string> eventsOf(const RequestStory& story)
{
    std::vector<std::string> events;
    for (const auto& record : story.records) {
        events.emplace_back(record.field("event"));
    }
    return events;
}

RequestStory tell(const char* logs, std::string_view id)
{
    std::istringstream in(logs);
    return collectStory(in, id);
}

} // namespace

// Guards against values with blanks, quotes and equal signs that end a field too early.
TEST_CASE("a log line is read with its quoted values")
{
    auto record = parseLogRecord(
        R"(d1.log:time=2026-12-04T11:00:00.001Z level=info event=x error="no \"way\" a=b" empty="" n=3)");
    REQUIRE(record);
    REQUIRE(record->field("error") == "no \"way\" a=b");
    REQUIRE(record->field("empty").empty());
    REQUIRE(record->field("n") == "3");
    REQUIRE_FALSE(parseLogRecord("not a log line"));
}

// Guards against a story without the instance that decided, which is not the one that took the request.
TEST_CASE("a refusal under load is told across two instances in order of time")
{
    // The dispatcher's line comes first, although only the entry's line names the caller's id.
    auto story
        = tell(R"(time=2026-12-04T11:00:02.000Z level=info instance=b event=requests_waiting domain=r/m by_tier=0:90
time=2026-12-04T11:00:02.500Z level=warning instance=b event=placement_refused request=a-1 domain=r/m reason=overloaded
time=2026-12-04T11:00:02.400Z level=warning instance=b event=placement_refused request=a-2 domain=r/m reason=overloaded
time=2026-12-04T11:00:02.600Z level=warning instance=a event=request_finished request=a-1 caller_id=c1 target=m code=overloaded run=not-run retry_after_ms=300 total_ms=900
time=2026-12-04T11:00:02.100Z level=info instance=b event=requests_waiting domain=r/other by_tier=0:1
time=2026-12-04T10:00:00.000Z level=info instance=b event=requests_waiting domain=r/m by_tier=0:1
)",
            "c1");
    REQUIRE(
        eventsOf(story) == std::vector<std::string> { "requests_waiting", "placement_refused", "request_finished" });
    REQUIRE(story.records[1].field("instance") == "b");
    REQUIRE(story.conclusion.find("refused (overloaded): it has not run") == 0);
    REQUIRE(story.conclusion.find("300 ms") != std::string::npos);
}

// Guards against a refusal at a planned stop that is told as one for want of capacity.
TEST_CASE("a refusal at a shutdown names the shutdown")
{
    auto story
        = tell(R"(time=2026-12-04T11:00:02.000Z level=info instance=a event=shutdown_started delay_ms=2000 grace_ms=8000
time=2026-12-04T11:00:02.500Z level=warning instance=a event=request_finished request=a-1 caller_id=c1 code=shutting_down run=not-run
)",
            "c1");
    REQUIRE(eventsOf(story) == std::vector<std::string> { "shutdown_started", "request_finished" });
    REQUIRE(story.conclusion.find("refused (shutting_down): it has not run") == 0);
}

// Guards against blaming a server for one lost answer, or one answer for a dead server.
TEST_CASE("a failure at a server tells whether others failed there")
{
    constexpr auto own
        = R"(time=2026-12-04T11:00:02.000Z level=warning instance=a event=attempt_failed request=a-1 caller_id=c1 server=s1 cause=broken
time=2026-12-04T11:00:02.010Z level=warning instance=a event=request_finished request=a-1 caller_id=c1 target=m server=s1 code=backend_failed run=unknown total_ms=50
)";
    constexpr auto other = "time=2026-12-04T11:00:02.020Z level=warning instance=b event=attempt_failed request=b-7 "
                           "caller_id=c9 server=s1 cause=broken\n";
    REQUIRE(tell(own, "c1").conclusion.find("this answer alone") != std::string::npos);
    REQUIRE(tell((std::string(own) + other).c_str(), "a-1").conclusion.find("1 other requests failed there")
        != std::string::npos);
}

// Guards against a refusal by a configuration that nobody can place in time.
TEST_CASE("a refusal by key shows the configurations of its instance")
{
    auto story = tell(R"(time=2026-12-04T11:00:01.000Z level=info instance=a event=configuration_applied number=13
time=2026-12-04T11:00:01.000Z level=info instance=b event=configuration_applied number=14
time=2026-12-04T11:00:02.000Z level=warning instance=a event=request_finished request=a-1 caller_id=c1 configuration=13 code=invalid_key run=not-run total_ms=1
)",
        "a-1");
    REQUIRE(eventsOf(story) == std::vector<std::string> { "configuration_applied", "request_finished" });
    REQUIRE(story.conclusion.find("by configuration 13") != std::string::npos);
}

TEST_CASE("an id that no log has gives an empty story")
{
    REQUIRE(tell("time=2026-12-04T11:00:01.000Z level=info instance=a event=stopped\n", "c1").records.empty());
}

} // namespace lagoonspoke
