// Replays an overload of a plain service, whose requests have neither prompt nor output tokens.
#include <queue>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "dispatch/DispatcherFixture.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

constexpr Duration serviceTime = 60ms;
constexpr Duration deadline = 800ms;
constexpr Duration firstTokenTarget = 300ms;
constexpr int slots = 6;
constexpr int lowTeams = 10;

SnapshotPtr makeSnapshot()
{
    Configuration configuration;
    configuration.services[TargetName("m")] = ServiceSpec { TargetName("m") };
    for (int level : { 0, 1, 2 }) {
        Tier tier { static_cast<std::uint8_t>(level) };
        configuration.tiers[tier] = TierSpec { tier };
        ClassSpec spec;
        spec.name = ClassName("c" + std::to_string(level));
        spec.tier = tier;
        spec.firstTokenTarget = firstTokenTarget;
        spec.deadline = deadline;
        configuration.classes[spec.name] = spec;
    }
    return ConfigurationSnapshot::Make(std::move(configuration));
}

// One server that answers 100 requests a second; callers without a key send 40 of the highest tier, ten teams send 13
// each of a lower one. The requests of a tier between them, if any, always fail.
class PlainServiceOverload {
public:
    PlainServiceOverload()
        : m_fixture(1, slots)
    {
        m_fixture.send(ConfigurationChanged { makeSnapshot() });
    }

    void run(Duration length, bool withFailures = false)
    {
        for (Duration time {}; time < length; time += 1ms) {
            m_fixture.advance(1ms);
            while (!m_ends.empty() && m_ends.front().first <= m_fixture.now) {
                auto id = m_ends.front().second;
                m_ends.pop();
                m_fixture.finish(id, id.starts_with("c1") ? FinishOutcome::ServerFailed : FinishOutcome::Completed, 0);
                recordGrants();
            }
            if (time % 25ms == 0ms) {
                place(0, "");
            }
            if (withFailures && time % 100ms == 0ms) {
                place(1, "failing");
            }
            for (int i = 0; i < lowTeams; ++i) {
                if ((time + i * 7ms) % 77ms == 0ms) {
                    place(2, "t" + std::to_string(i));
                }
            }
        }
    }

    std::uint64_t guaranteedGrants() const { return m_fixture.counters().guaranteedGrants; }
    int sent(int tier) const { return m_sent.at(tier); }
    int grantedOf(const std::string& prefix) const
    {
        return static_cast<int>(
            std::ranges::count_if(m_fixture.granted, [&](const auto& it) { return it.starts_with(prefix); }));
    }
    int refusedOf(const std::string& prefix) const
    {
        return static_cast<int>(
            std::ranges::count_if(m_fixture.refusals, [&](const auto& it) { return it.first.starts_with(prefix); }));
    }
    Duration medianWaitOfRefused()
    {
        auto middle = m_waitsOfRefused.begin() + std::ssize(m_waitsOfRefused) / 2;
        std::ranges::nth_element(m_waitsOfRefused, middle);
        return *middle;
    }

private:
    void place(int tier, const std::string& team)
    {
        auto id = fmt::format("c{}-{}-{}", tier, team, m_sent[tier]++);
        auto place = DispatcherFixture::makePlace(id, tier, team);
        place.promptTokens = {};
        place.remaining = deadline;
        m_arrivals[id] = m_fixture.now;
        m_fixture.sendFromEntry(place);
        recordGrants();
    }
    void recordGrants()
    {
        for (; m_granted < m_fixture.granted.size(); ++m_granted) {
            m_fixture.start(m_fixture.granted[m_granted]);
            m_ends.emplace(m_fixture.now + serviceTime, m_fixture.granted[m_granted]);
        }
        for (const auto& [id, refusal] : m_fixture.refusals) {
            if (auto it = m_arrivals.find(id); it != m_arrivals.end()) {
                m_waitsOfRefused.push_back(m_fixture.now - it->second);
                m_arrivals.erase(it);
            }
        }
    }

    DispatcherFixture m_fixture;
    std::map<int, int> m_sent;
    std::map<std::string, MonotonicTime> m_arrivals;
    std::queue<std::pair<MonotonicTime, std::string>> m_ends;
    std::size_t m_granted = 0;
    std::vector<Duration> m_waitsOfRefused;
};

} // namespace

// Guards against open routes that are refused while a lower tier takes every slot as its guaranteed share, because
// requests without tokens cost nothing.
TEST_CASE("an overloaded plain service serves the highest tier before a lower one")
{
    PlainServiceOverload overload;
    overload.run(10s);
    CHECK(overload.refusedOf("c0") == 0);
    // All but those that arrived last.
    CHECK(overload.grantedOf("c0") >= overload.sent(0) - slots);
    // The lower tier gets the rest of the 100 requests a second, less the slots that are kept free for bursts.
    CHECK(overload.grantedOf("c") >= (1 - DispatchOptions().largestReserve) * 100 * 10);
}

// Guards against a lower tier that gets more than its guaranteed share, because the tokens predicted for a class whose
// requests always fail count as granted ones.
TEST_CASE("no output is predicted for a plain service, so that a guaranteed share is one of what was granted")
{
    PlainServiceOverload overload;
    overload.run(10s, true);
    auto lowerTiers = 2;
    auto share = lowerTiers * TierSpec().guaranteedShare * overload.grantedOf("c");
    CHECK(static_cast<double>(overload.guaranteedGrants()) <= share + lowerTiers);
}

// Guards against one team that gets all slots of a plain service, and another one none.
TEST_CASE("an overloaded plain service gives each team at least 80% of its fair share")
{
    PlainServiceOverload overload;
    overload.run(10s);
    auto fairShare = overload.grantedOf("c2") / double { lowTeams };
    for (int i = 0; i < lowTeams; ++i) {
        CAPTURE(i);
        CHECK(overload.grantedOf(fmt::format("c2-t{}-", i)) >= 0.8 * fairShare);
    }
}

// Guards against refusals that come only when the request has waited until it can no longer be served in time.
TEST_CASE("an overloaded plain service refuses most requests before their latency target has passed")
{
    PlainServiceOverload overload;
    overload.run(10s);
    REQUIRE(overload.refusedOf("c2") > 0);
    CHECK(overload.medianWaitOfRefused() <= firstTokenTarget);
}

} // namespace lagoonspoke
