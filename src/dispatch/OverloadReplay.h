#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "dispatch/Dispatcher.h"
#include "dispatch/OverloadReplayLoad.h"
#include "dispatch/PromptEngineModel.h"
#include "lagoonspoke/core/Overload.h"

namespace lagoonspoke {

// What became of the requests that arrived within a time.
struct Served {
    int asked = 0;
    int inTarget = 0;
    double worth = 0; // earned, as a part of what was asked

    double share() const { return static_cast<double>(inTarget) / std::max(1, asked); }
};

// For tests: one dispatcher before model engines under the load of a large deployment, on a virtual clock. Callers that
// are refused come back once.
class OverloadReplay {
public:
    static constexpr int engineCount = 24;
    static constexpr int entryCount = 10;

    OverloadReplay()
        : m_dispatcher(Dispatcher::Make(DomainId("riga/m")))
    {
        for (int i = 0; i < engineCount; ++i) {
            addEngine(i >= engineCount / 9);
        }
        execute(m_dispatcher.handle(ConfigurationChanged { makeReplaySnapshot() }, m_now));
        tellServers();
        run(2s, {});
        m_start = m_now;
    }

    // Runs for the time, with the given multiples of the loadClasses' usual traffic.
    void run(Duration time, const std::vector<double>& load)
    {
        for (auto end = m_now + time; m_now < end;) {
            m_now += stepLength;
            for (std::size_t i = 0; i < load.size(); ++i) {
                std::poisson_distribution<int> arrivals(loadClasses[i].perSecond * load[i] * toSeconds(stepLength));
                for (int n = arrivals(m_random); n > 0; --n) {
                    arrive(static_cast<int>(i));
                }
            }
            returnRefused();
            runEngines();
            if (auto next = m_dispatcher.nextWakeup(); next && *next <= m_now) {
                execute(m_dispatcher.advance(m_now));
            }
        }
    }

    // The engines get no new work; they are gone after the given time.
    void evict(int count, Duration notice)
    {
        for (auto& [id, engine] : m_engines) {
            if (engine.server.cheap && !engine.server.leaving && count > 0) {
                engine.server.leaving = true;
                m_goneAt[id] = m_now + notice;
                --count;
            }
        }
        tellServers();
    }

    void crash(int count, Duration downtime)
    {
        for (auto& [id, engine] : m_engines) {
            if (engine.server.leaving || count-- <= 0) {
                continue;
            }
            for (const auto& job : engine.crash(m_now + downtime)) {
                finish(job, FinishOutcome::ServerDied);
            }
        }
    }

    void addEngines(int count)
    {
        for (; count > 0; --count) {
            addEngine(true);
        }
        tellServers();
    }

    void loseEntries(int count)
    {
        for (int i = 0; i < count; ++i) {
            auto lost = entryName(i);
            for (auto& [id, engine] : m_engines) {
                std::vector<RequestId> requests;
                for (const auto& job : engine.run(m_now)) {
                    if (m_requests.at(job.place.request).entry == lost) {
                        requests.push_back(job.place.request);
                    }
                }
                for (const auto& request : requests) {
                    engine.remove(request);
                }
            }
            execute(m_dispatcher.handle(EntryLost { lost }, m_now));
        }
    }

    Served served(int classIndex, Duration from, Duration to) const
    {
        Served result;
        double owed = 0;
        for (const auto& [id, request] : m_requests) {
            auto at = request.arrived - m_start;
            if (request.classIndex != classIndex || at < from || at >= to) {
                continue;
            }
            const auto& spec = loadClasses[static_cast<std::size_t>(classIndex)];
            ++result.asked;
            owed += spec.worth;
            if (request.completed) {
                result.inTarget += request.inTarget ? 1 : 0;
                result.worth += request.inTarget ? spec.worth : spec.lateWorth;
            }
        }
        result.worth /= std::max(owed, 1e-9);
        return result;
    }

    std::int64_t rereadTokens() const
    {
        std::int64_t sum = m_rereadByGone;
        for (const auto& [id, engine] : m_engines) {
            sum += engine.rereadTokens;
        }
        return sum;
    }

private:
    static constexpr Duration stepLength = 5ms;

    struct Request {
        int classIndex = 0;
        InstanceId entry;
        PlaceRequest place;
        MonotonicTime arrived;
        MonotonicTime grantedAt {};
        GrantId grant {};
        bool firstEventSeen = false;
        bool inTarget = false;
        bool completed = false;
        int attempts = 1;
    };

    static InstanceId entryName(int i) { return InstanceId(fmt::format("e{}", i)); }

    void addEngine(bool cheap)
    {
        BackendServer server;
        server.id = BackendServerId(fmt::format("s{:03}", m_nextEngine++));
        server.dataCentre = DataCentreId("a");
        server.target = TargetName("m");
        server.address = "127.0.0.1:1";
        server.slots = 12;
        server.cheap = cheap;
        auto id = server.id;
        auto& engine = m_engines.emplace(id, PromptEngineModel(std::move(server))).first->second;
        engine.partsRead = &m_partsRead;
        engine.skipTo(m_now);
    }

    void tellServers()
    {
        std::vector<BackendServer> servers;
        for (const auto& [id, engine] : m_engines) {
            servers.push_back(engine.server);
        }
        execute(m_dispatcher.handle(ServersChanged { std::move(servers) }, m_now));
    }

    void arrive(int classIndex)
    {
        const auto& spec = loadClasses[static_cast<std::size_t>(classIndex)];
        Request request;
        request.classIndex = classIndex;
        request.entry = entryName(std::uniform_int_distribution(0, entryCount - 1)(m_random));
        request.arrived = m_now;
        auto& place = request.place;
        place.request = RequestId(fmt::format("r{}", m_nextRequest++));
        place.domain = DomainId("riga/m");
        place.team = TeamId(fmt::format("t{}", m_nextRequest % 8));
        place.className = ClassName(spec.name);
        place.tier = Tier { static_cast<std::uint8_t>(spec.tier) };
        auto part = std::uniform_int_distribution(1, spec.parts)(m_random);
        place.prefix = { PrefixBlock(static_cast<std::uint64_t>(classIndex * 10'000 + part)),
            PrefixBlock(static_cast<std::uint64_t>(1'000'000 + m_nextRequest)) };
        auto own = static_cast<int>(std::lognormal_distribution(-0.5, 1.0)(m_random) * spec.own);
        place.prefixTokens = { { spec.shared }, { std::clamp(own, 16, 8 * spec.own) } };
        place.promptTokens = place.prefixTokens[0] + place.prefixTokens[1];
        place.remaining = spec.deadline;
        auto id = place.request;
        send(m_requests.emplace(id, std::move(request)).first->second);
    }

    void send(const Request& request)
    {
        auto place = request.place;
        place.waited = Duration(0);
        execute(m_dispatcher.handle(EntryMessageReceived { request.entry, std::move(place) }, m_now));
    }

    void execute(std::vector<DispatchAction> actions)
    {
        for (auto& action : actions) {
            if (auto* sent = std::get_if<SendToEntry>(&action)) {
                std::visit(Overload {
                               [&](const Grant& it) { start(it); },
                               [&](const Refusal& it) { refuse(it); },
                               [&](const Revoke&) {},
                           },
                    sent->message);
            }
        }
    }

    void start(const Grant& grant)
    {
        auto& request = m_requests.at(grant.request);
        request.grant = grant.grant;
        request.grantedAt = m_now;
        PromptEngineModel::Job job;
        job.place = request.place;
        job.tokensLeft = loadClasses[static_cast<std::size_t>(request.classIndex)].output;
        m_engines.at(grant.server).submit(std::move(job));
    }

    // A caller comes back once, at the given time if that leaves it two thirds of its own.
    void refuse(const Refusal& refusal)
    {
        auto& request = m_requests.at(refusal.request);
        const auto& spec = loadClasses[static_cast<std::size_t>(request.classIndex)];
        auto left = request.arrived + spec.deadline - m_now;
        if (request.attempts++ == 1 && refusal.retryAfter <= left / 3) {
            m_returning.emplace(m_now + refusal.retryAfter, refusal.request);
        }
    }

    void returnRefused()
    {
        while (!m_returning.empty() && m_returning.begin()->first <= m_now) {
            auto& request = m_requests.at(m_returning.begin()->second);
            m_returning.erase(m_returning.begin());
            const auto& spec = loadClasses[static_cast<std::size_t>(request.classIndex)];
            request.place.remaining = request.arrived + spec.deadline - m_now;
            send(request);
        }
    }

    void runEngines()
    {
        std::vector<PromptEngineModel::Job> ended;
        std::vector<Progress> started;
        for (auto& [id, engine] : m_engines) {
            for (auto& job : engine.run(m_now)) {
                auto& request = m_requests.at(job.place.request);
                if (job.firstEventSent && !request.firstEventSeen) {
                    request.firstEventSeen = true;
                    const auto& spec = loadClasses[static_cast<std::size_t>(request.classIndex)];
                    request.inTarget = m_now - request.arrived <= spec.target;
                    started.push_back(makeProgress(job));
                }
                if (job.tokensLeft == 0) {
                    ended.push_back(job);
                }
            }
        }
        for (const auto& progress : started) {
            execute(
                m_dispatcher.handle(EntryMessageReceived { m_requests.at(progress.request).entry, progress }, m_now));
        }
        for (const auto& job : ended) {
            for (auto& [id, engine] : m_engines) {
                engine.remove(job.place.request);
            }
            auto& request = m_requests.at(job.place.request);
            const auto& spec = loadClasses[static_cast<std::size_t>(request.classIndex)];
            request.completed = m_now <= request.arrived + spec.deadline;
            request.inTarget = request.inTarget && job.longestGap <= spec.gap;
            finish(job, FinishOutcome::Completed);
        }
        removeGone();
    }

    void removeGone()
    {
        bool changed = false;
        for (auto it = m_goneAt.begin(); it != m_goneAt.end();) {
            if (it->second > m_now) {
                ++it;
                continue;
            }
            auto engine = m_engines.extract(it->first);
            m_rereadByGone += engine.mapped().rereadTokens;
            for (const auto& job : engine.mapped().crash(m_now)) {
                finish(job, FinishOutcome::ServerDied);
            }
            it = m_goneAt.erase(it);
            changed = true;
        }
        if (changed) {
            tellServers();
        }
    }

    Progress makeProgress(const PromptEngineModel::Job& job)
    {
        const auto& request = m_requests.at(job.place.request);
        Progress progress;
        progress.request = job.place.request;
        progress.grant = request.grant;
        progress.firstByteSeen = true;
        progress.timeToFirstByte = m_now - request.grantedAt;
        progress.outputTokens = { 1 };
        return progress;
    }

    void finish(const PromptEngineModel::Job& job, FinishOutcome outcome)
    {
        auto progress = makeProgress(job);
        const auto& request = m_requests.at(job.place.request);
        const auto& spec = loadClasses[static_cast<std::size_t>(request.classIndex)];
        progress.finished = true;
        progress.outcome = outcome;
        progress.outputTokens = { spec.output - job.tokensLeft };
        execute(m_dispatcher.handle(EntryMessageReceived { request.entry, progress }, m_now));
    }

    std::mt19937_64 m_random { 7 };
    MonotonicTime m_now { 1h };
    MonotonicTime m_start {};
    Dispatcher m_dispatcher;
    std::map<BackendServerId, PromptEngineModel> m_engines;
    std::map<BackendServerId, MonotonicTime> m_goneAt;
    std::map<PrefixBlock, bool> m_partsRead;
    std::map<RequestId, Request> m_requests;
    std::multimap<MonotonicTime, RequestId> m_returning;
    std::int64_t m_rereadByGone = 0;
    int m_nextEngine = 0;
    int m_nextRequest = 0;
};

} // namespace lagoonspoke
