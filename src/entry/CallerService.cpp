#include "entry/CallerService.h"

#include <algorithm>

#include <fmt/format.h>

#include "entry/InstallationLimits.h"

namespace lagoonspoke {

CallerService::CallerService(const asio::any_io_executor& executor, const CallerDialect& dialect,
    const DaemonSettings& settings, PlacementClient& placement, RequestMetrics& metrics, std::string requestIdPrefix,
    UsageSink sink)
    : m_ownSettings(settings)
    , m_settings(settings)
    , m_services { dialect, m_settings, placement, metrics, BackendPool(executor), ServerConnector(executor),
        std::move(sink), {} }
    , m_requestIdPrefix(std::move(requestIdPrefix))
{
    placement.setRevoked([this](const Revoke& it) { revoke(it); });
}

CallerService::~CallerService()
{
    m_services.placement.setRevoked({});
}

asio::awaitable<void> CallerService::handle(HttpExchange& exchange)
{
    RequestId id(fmt::format("{}-{}", m_requestIdPrefix, ++m_lastRequest));
    RequestRunner runner(m_services, exchange, std::move(id), m_snapshot);
    m_running.push_back(runner);
    co_await runner.run();
}

void CallerService::applySnapshot(SnapshotPtr snapshot)
{
    m_snapshot = std::move(snapshot);
    m_settings = applyInstallation(m_ownSettings, m_snapshot->configuration());
    if (m_settings.finishesWithdrawnRequests) {
        return;
    }
    for (auto& runner : m_running) {
        const auto& digest = runner.keyDigest();
        if (digest.empty()) {
            continue;
        }
        const auto* team = m_snapshot->findTeamByKey(digest);
        if (!team || team->name != runner.team()) {
            runner.stop(CallerError::KeyWithdrawn);
        }
    }
}

void CallerService::endLateRequests()
{
    bool ended = m_services.requestsEnd && readMonotonicClock() >= *m_services.requestsEnd;
    for (auto& runner : m_running) {
        if (ended) {
            runner.stop(CallerError::ShuttingDown);
        } else {
            runner.stopLateWait();
        }
    }
}

bool CallerService::isValidKey(const std::string& digest) const
{
    return digest.empty() || (m_snapshot && m_snapshot->findTeamByKey(KeyDigest(digest)));
}

void CallerService::revoke(const Revoke& revoke)
{
    auto it
        = std::ranges::find_if(m_running, [&](const RequestRunner& runner) { return runner.id() == revoke.request; });
    if (it != m_running.end()) {
        it->revoke(revoke);
    }
}

} // namespace lagoonspoke
