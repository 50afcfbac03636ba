#include "external/StoreOutages.h"

#include <algorithm>
#include <utility>

namespace lagoonspoke {

StoreOutages::StoreOutages(Duration shortest)
    : m_shortest(shortest)
{
}

void StoreOutages::noteFailure(MonotonicTime answerableSince)
{
    // The store was there when it answered another call meanwhile.
    auto since = std::max(answerableSince, m_lastAnswer.value_or(answerableSince));
    m_unansweredSince = std::min(m_unansweredSince.value_or(since), since);
}

std::optional<Duration> StoreOutages::noteAnswer(MonotonicTime now)
{
    m_lastAnswer = now;
    auto since = std::exchange(m_unansweredSince, {});
    if (!since || now - *since < m_shortest) {
        return {};
    }
    m_lastEnd = now;
    return now - *since;
}

} // namespace lagoonspoke
