// The log lines of ControlLoop about the decisions of its dispatchers.
#include <fmt/format.h>

#include "daemon/ControlLoop.h"
#include "observe/LogLine.h"

namespace lagoonspoke {

namespace {

// Bounds the volume of the log; waits under load last seconds.
constexpr Duration dispatcherLogInterval = std::chrono::seconds(1);

// "0:12,2:5", without tiers that have none.
template <typename Count> std::string formatByTier(const std::map<Tier, Count>& counts)
{
    std::string text;
    for (const auto& [tier, count] : counts) {
        if (count > 0) {
            fmt::format_to(std::back_inserter(text), "{}{}:{}", text.empty() ? "" : ",", tier.level, count);
        }
    }
    return text;
}

} // namespace

void ControlLoop::logRefusal(const DomainId& domain, const SendToEntry& sent, MonotonicTime now) const
{
    const auto* refusal = std::get_if<Refusal>(&sent.message);
    if (!refusal || !sent.inputs) {
        return;
    }
    const auto& inputs = *sent.inputs;
    LogLine(LogLevel::Warning, "placement_refused")
        .add("request", refusal->request.value())
        .add("domain", domain.value())
        .add("reason", toString(refusal->code))
        .add("retry_after_ms", toMilliseconds(refusal->retryAfter))
        .add("tier", inputs.tier.level)
        .add("attempt", inputs.attempt)
        .add("waited_ms", toMilliseconds(now - inputs.queuedAt))
        .add("spare_ms", toMilliseconds(inputs.latestStart - now))
        .add("waiting_in_tier", inputs.waitingInTier)
        .add("servers", inputs.serverCount)
        .add("unread_tokens", inputs.unreadPromptTokens)
        .add("configuration", m_snapshot ? m_snapshot->number() : 0);
}

void ControlLoop::logServerChanges(const std::vector<BackendServer>& servers) const
{
    auto log = [&](std::string_view event, const BackendServer& server) {
        LogLine(LogLevel::Info, event)
            .add("server", server.id.value())
            .add("target", server.target.value())
            .add("revision", m_peers.serversRevision());
    };
    auto now = readMonotonicClock();
    std::map<BackendServerId, const BackendServer*> removed;
    for (const auto& server : m_servers) {
        removed.emplace(server.id, &server);
    }
    for (const auto& server : servers) {
        auto before = removed.extract(server.id);
        bool wasLeaving = before && before.mapped()->leaving;
        if (server.coldUntil > now && (!before || before.mapped()->coldUntil <= now)) {
            LogLine(LogLevel::Info, "backend_server_cold")
                .add("server", server.id.value())
                .add("data_centre", server.dataCentre.value())
                .add("remaining_ms", toMilliseconds(server.coldUntil - now))
                .add("revision", m_peers.serversRevision());
        }
        if (server.leaving && !wasLeaving) {
            log("backend_server_leaving", server);
        } else if (!server.leaving && wasLeaving) {
            log("backend_server_returned", server);
        } else if (!before && !m_servers.empty()) {
            log("backend_server_added", server);
        }
    }
    for (const auto& [id, server] : removed) {
        log("backend_server_removed", *server);
    }
}

void ControlLoop::logRequestLimit(const DomainId& domain, const RequestLimitChanged& change)
{
    LogLine(LogLevel::Info, "request_limit_changed")
        .add("domain", domain.value())
        .add("server", change.server.value())
        .add("limit_per_s", change.limit ? fmt::format("{}", change.limit->perSecond) : "none")
        .add("request", change.request.value())
        .add("entry", change.entry.value());
}

void ControlLoop::logRejectionLimit(const DomainId& domain, const RejectionLimitChanged& change)
{
    LogLine(LogLevel::Info, "rejection_limit_changed")
        .add("domain", domain.value())
        .add("server", change.server.value())
        .add("rejections_per_s", change.limit ? fmt::format("{}", change.limit->perSecond) : "none")
        .add("request", change.request.value())
        .add("entry", change.entry.value());
}

void ControlLoop::logPace(const DomainId& domain, const ServerPaceChanged& change)
{
    LogLine(LogLevel::Info, change.begun ? "server_pace_began" : "server_pace_ended")
        .add("domain", domain.value())
        .add("server", change.server.value())
        .add("reason", change.begun ? toString(*change.begun) : "full_share");
}

void ControlLoop::logQuarantine(const DomainId& domain, const PublishQuarantine& quarantine)
{
    LogLine(LogLevel::Warning, "quarantined")
        .add("domain", domain.value())
        .add("fingerprint", fmt::format("{:016x}", static_cast<std::uint64_t>(quarantine.fingerprint)))
        .add("companions", quarantine.companions.size())
        .add("remaining_ms", toMilliseconds(quarantine.remaining));
}

void ControlLoop::logDispatchers(MonotonicTime now)
{
    if (now < m_dispatchersLogged + dispatcherLogInterval) {
        return;
    }
    for (const auto& [domain, dispatcher] : m_dispatchers) {
        auto summary = dispatcher.summarize();
        auto waiting = formatByTier(summary.waiting);
        if (waiting.empty() && summary.suspects == 0) {
            continue;
        }
        auto elapsed = toMilliseconds(now - m_dispatchersLogged);
        m_dispatchersLogged = now;
        auto traffic = std::exchange(m_traffic, {});
        LogLine(LogLevel::Info, "requests_waiting")
            .add("domain", domain.value())
            .add("by_tier", waiting)
            .add("waiting_cost", summary.waitingCost)
            .add("granted", formatByTier(summary.grants))
            .add("guaranteed", formatByTier(summary.guaranteedGrants))
            .add("suspects", summary.suspects)
            .add("servers", summary.servers)
            .add("leaving", summary.leavingServers)
            .add("evacuated", summary.evacuatedServers)
            .add("ejected", summary.ejectedServers)
            .add("limited", summary.limitedServers)
            .add("cold", summary.coldServers)
            .add("paced", summary.pacedServers)
            .add("isolated", summary.isolatedServers)
            .add("busy_slots", summary.busySlots)
            .add("reading", summary.serversWithUnreadPrompts)
            .add("unread_ms", toMilliseconds(summary.meanTimeToRead))
            .add("elapsed_ms", elapsed)
            .add("messages", traffic.messages)
            .add("message_bytes", traffic.bytes)
            .add("resyncs", traffic.resyncs)
            .add("resync_bytes", traffic.resyncBytes)
            .add("timer_delay_ms", toMilliseconds(traffic.timerDelay))
            .add("resyncs_sent", m_router.resyncsSent());
    }
}

} // namespace lagoonspoke
