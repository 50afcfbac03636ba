#include "dispatch/queue/DeathConfirmation.h"

#include <utility>

namespace lagoonspoke {

namespace {

// Reports of one server's death arrive within this time of the first; those sent before it within the second one.
constexpr Duration confirmationTime = std::chrono::seconds(1);
constexpr Duration reportDelay = std::chrono::milliseconds(100);

} // namespace

void DeathConfirmation::begin(const BackendServerId& server, int others, int unanswered, MonotonicTime now)
{
    m_deaths[server] = Death { now, others, unanswered, 0, {} };
}

std::vector<PartQuarantine::DeadRequest> DeathConfirmation::add(const GrantedRequest& granted, MonotonicTime now)
{
    auto it = m_deaths.find(granted.server);
    if (it == m_deaths.end() || now > it->second.at + confirmationTime) {
        return {};
    }
    auto& death = it->second;
    ++death.reports;
    if (!granted.isAnswered(now)) {
        bool isSole = !granted.answerBeganAt && death.unanswered <= 1;
        death.requests.push_back({ granted.place.parts, granted.grantedAt, isSole });
    }
    bool confirmed = death.reports > 1 || death.others == 0;
    return confirmed ? std::exchange(death.requests, {}) : std::vector<PartQuarantine::DeadRequest>();
}

void DeathConfirmation::refute(const GrantedRequest& granted, MonotonicTime now)
{
    auto it = m_deaths.find(granted.server);
    if (it != m_deaths.end() && granted.grantedAt <= it->second.at && now > it->second.at + reportDelay) {
        m_deaths.erase(it);
    }
}

void DeathConfirmation::removeExpired(MonotonicTime now)
{
    absl::erase_if(m_deaths, [&](const auto& it) { return now > it.second.at + confirmationTime; });
}

} // namespace lagoonspoke
