#pragma once

#include <algorithm>
#include <list>
#include <map>
#include <vector>

#include "lagoonspoke/dispatch/BackendServer.h"
#include "lagoonspoke/dispatch/Messages.h"

namespace lagoonspoke {

// For tests: a model engine on a virtual clock. It runs a batch of requests, reads prompts in chunks between their
// tokens, sends several tokens in an event, and caches shared prompt parts until its memory is full.
class PromptEngineModel {
public:
    struct Job {
        PlaceRequest place;
        double promptLeft = -1; // tokens to read; negative until the request has a slot
        int tokensLeft = 0;
        int tokensInEvent = 0;
        MonotonicTime lastEvent {};
        Duration longestGap {}; // between two events
        bool firstEventSent = false;
    };

    explicit PromptEngineModel(BackendServer description)
        : server(std::move(description))
    {
    }

    void submit(Job job) { m_jobs.push_back(std::move(job)); }
    void remove(const RequestId& request)
    {
        m_jobs.remove_if([&](const Job& it) { return it.place.request == request; });
    }
    // Runs until the given time. Requests that ended stay in the list with no tokens left.
    std::list<Job>& run(MonotonicTime now)
    {
        while (m_now < now) {
            step();
        }
        return m_jobs;
    }
    // Ends all requests and forgets what was cached.
    std::list<Job> crash(MonotonicTime restart)
    {
        m_cached.clear();
        m_now = std::max(m_now, restart);
        return std::exchange(m_jobs, {});
    }
    void skipTo(MonotonicTime now) { m_now = std::max(m_now, now); }

    BackendServer server;
    std::int64_t rereadTokens = 0; // of shared parts that some engine had read before
    std::map<PrefixBlock, bool>* partsRead = nullptr; // by any engine

private:
    static constexpr int tokensPerEvent = 10;
    static constexpr double chunkTokens = 1024;
    static constexpr double tokensPerMs = 55;
    static constexpr std::int64_t memoryTokens = 250'000; // for cached parts

    void step()
    {
        int running = 0;
        Job* reading = nullptr;
        auto slots = static_cast<std::size_t>(server.slots);
        std::size_t index = 0;
        for (auto& job : m_jobs) {
            if (job.tokensLeft == 0 || index == slots) {
                continue;
            }
            ++index;
            if (job.promptLeft < 0) {
                start(job);
            }
            if (job.promptLeft > 0 && (!reading || job.place.tier.isHigherThan(reading->place.tier))) {
                reading = &job;
            }
            ++running;
        }
        double ms = running == 0 ? 5 : 2.89 + 0.101 * running;
        if (reading) {
            auto chunk = std::min(chunkTokens, reading->promptLeft);
            reading->promptLeft -= chunk;
            ms += chunk / tokensPerMs;
        }
        m_now += fromSeconds(ms / 1000);
        index = 0;
        for (auto& job : m_jobs) {
            if (job.tokensLeft > 0 && index++ < slots && job.promptLeft == 0) {
                generate(job);
            }
        }
    }

    void generate(Job& job)
    {
        --job.tokensLeft;
        if (++job.tokensInEvent < tokensPerEvent && job.firstEventSent && job.tokensLeft > 0) {
            return;
        }
        if (job.firstEventSent) {
            job.longestGap = std::max(job.longestGap, m_now - job.lastEvent);
        }
        job.firstEventSent = true;
        job.tokensInEvent = 0;
        job.lastEvent = m_now;
    }

    void start(Job& job)
    {
        auto part = job.place.prefix.front();
        auto shared = job.place.prefixTokens.front().count;
        job.promptLeft = static_cast<double>(job.place.promptTokens.count);
        if (auto it = std::ranges::find(m_cached, part, &std::pair<PrefixBlock, std::int64_t>::first);
            it != m_cached.end()) {
            job.promptLeft -= static_cast<double>(shared);
            m_cached.splice(m_cached.end(), m_cached, it);
            return;
        }
        rereadTokens += (*partsRead)[part] ? shared : 0;
        (*partsRead)[part] = true;
        m_cached.emplace_back(part, shared);
        for (m_cachedTokens += shared; m_cachedTokens > memoryTokens; m_cached.pop_front()) {
            m_cachedTokens -= m_cached.front().second;
        }
    }

    MonotonicTime m_now {};
    std::list<Job> m_jobs; // in order of arrival
    std::list<std::pair<PrefixBlock, std::int64_t>> m_cached; // least recently used first
    std::int64_t m_cachedTokens = 0;
};

} // namespace lagoonspoke
