// Replays the worst load of a large deployment: the long class bursts while a third of the engines is evicted, a fifth
// of the others crash and entries are lost; then the urgent class bursts, then the long one again.
#include <catch2/catch.hpp>

#include "dispatch/OverloadReplay.h"

namespace lagoonspoke {

namespace {

void replayWorstLoad(OverloadReplay& replay)
{
    constexpr int engines = OverloadReplay::engineCount;
    replay.run(6s, { 1, 1, 1 });
    replay.run(6s, { 2.43, 1, 1 });
    replay.loseEntries(OverloadReplay::entryCount / 5);
    replay.run(1s, { 2.43, 1, 1 });
    replay.evict(engines / 3, 2400ms);
    replay.run(2s, { 2.43, 1, 1 });
    replay.crash(2 * engines / 15, 2s);
    replay.run(1500ms, { 1, 1, 1 });
    replay.run(5s, { 1, 2.43, 1 });
    replay.addEngines(engines / 3);
    replay.run(1500ms, { 1, 1, 1 });
    replay.run(6s, { 2.69, 1, 1 });
    replay.run(17s, { 1, 1, 1 });
}

} // namespace

// Guards against prompt parts that are read again by whatever engine is free: on a calm day, 40 in 100 requests of the
// long class had their shared part read again, and no engine kept what it had read.
TEST_CASE("Replay: at the usual load each shared part is read by few engines")
{
    OverloadReplay replay;
    replay.run(30s, { 1, 1, 1 });
    std::int64_t distinct = 0;
    for (const auto& it : loadClasses) {
        distinct += static_cast<std::int64_t>(it.parts) * it.shared;
    }
    INFO("distinct " << distinct << ", read again " << replay.rereadTokens());
    CHECK(replay.rereadTokens() <= distinct);
    for (int i = 0; i < 3; ++i) {
        INFO(loadClasses[static_cast<std::size_t>(i)].name);
        CHECK(replay.served(i, 5s, 28s).share() >= 0.97);
    }
}

// Guards against the collapse of a burst: half of the slots were kept for streams that had ended, a thousand requests
// waited beside free slots, and the urgent classes were late with the long one.
TEST_CASE("Replay: in the worst load the urgent classes keep their target, and the service recovers")
{
    OverloadReplay replay;
    replayWorstLoad(replay);
    auto before = [&](int i) { return replay.served(i, 1s, 6s); };
    for (int i = 0; i < 3; ++i) {
        auto worst = replay.served(i, 6s, 29s);
        auto after = replay.served(i, 39s, 43s);
        INFO(loadClasses[static_cast<std::size_t>(i)].name
            << ": in target before " << before(i).share() << ", in the worst load " << worst.share() << " (worth "
            << worst.worth << "), after " << after.share() << ", read again " << replay.rereadTokens());
        // The design's 95% of goodput. Its 99% for the highest tier is for a burst alone, without crashes.
        CHECK((i == 0 || worst.share() >= 0.95));
        // What the users ask of wiekwerk-lagoon on days with trouble; of its grown twin they ask 0.6.
        CHECK(worst.worth >= 0.7);
        // 10 s after the end of the load.
        CHECK(after.share() >= before(i).share() - 0.02);
    }
}

} // namespace lagoonspoke
