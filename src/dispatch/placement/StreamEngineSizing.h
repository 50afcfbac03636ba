#pragma once

#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// What the number of stream engines depends on.
struct StreamDemand {
    Duration gapTarget {}; // longest pause between two events of a stream that is on time
    double readingPerSecond = 0; // of the streams' prompts, in engine seconds per second
    double meanReading = 0; // of one such prompt, in seconds
    double otherReadingPerSecond = 0; // of all other prompts, in engine seconds per second
    double otherUnreadSeconds = 0; // of prompts that wait at another engine, on average
    bool isCrowded = false; // most slots of all engines are in use
    int streams = 0; // in flight
    int slotsPerEngine = 1;
    int usableEngines = 0;
    // Time from event to event on an engine that reads no prompt, and on a slow one; 0 when unknown.
    double eventSeconds = 0;
    double slowEventSeconds = 0;
};

// Decides how many engines run the streams with a short gap target, apart from long prompts. An engine's streams stand
// still while it reads a prompt, also that of another stream, so the number follows from how many prompts one engine
// may read within a gap target, whatever the number of its slots. The load: many short streams whose prompts arrive in
// bunches, on engines that are slow for a part of the time, beside long prompts that need the other engines. While
// those are behind with their prompts, the streams get only the engines whose slots they fill. Pure; owned by
// PromptPlacement.
class StreamEngineSizing {
public:
    // Streams whose gap target leaves more time than this for a token bear the prompts of as many streams as an engine
    // has slots for.
    static constexpr Duration mostTokenTime = std::chrono::milliseconds(50);

    static bool appliesTo(Duration gapTarget, int tokensPerEvent)
    {
        return gapTarget > Duration(0) && gapTarget <= mostTokenTime * tokensPerEvent;
    }

    // The number of engines to have from now on, given the present one. It grows at once and shrinks only after the
    // demand was lower for a while, as an engine that changes sides loses the prompt parts that it has cached.
    int update(const StreamDemand&, int present, MonotonicTime now);
    // Part of its time that an engine may spend on reading the streams' prompts.
    static double readingShare(const StreamDemand&);

private:
    static int wantedEngines(const StreamDemand&, bool othersBehind);
    static double shareFor(const StreamDemand&, double eventSeconds, double readingSeconds, double deviations);

    // Whether the other engines are behind with their prompts, or were a moment ago.
    bool areOthersBehind(const StreamDemand&, MonotonicTime now);

    MonotonicTime m_othersFreeAt {};
    MonotonicTime m_lowSince {};
    int m_highestSinceLow = 0;
};

} // namespace lagoonspoke
