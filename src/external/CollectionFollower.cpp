#include "external/CollectionFollower.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>
#include <utility>

#include "lagoonspoke/core/StoreRevision.h"

namespace lagoonspoke {

namespace {

// Items removed by one answer that count as lapsed in an outage: this many, and this part of all. Half of the servers
// may well leave while an instance is cut off.
constexpr std::ptrdiff_t fewestLapsed = 3;
constexpr double lapsedFraction = 0.75;

} // namespace

CollectionFollower::CollectionFollower(Options options)
    : m_options(options)
{
}

std::vector<CollectionAction> CollectionFollower::start(MonotonicTime)
{
    m_actions.emplace_back(ListCollection {});
    return std::exchange(m_actions, {});
}

std::vector<CollectionAction> CollectionFollower::handle(CollectionEvent event, MonotonicTime now)
{
    std::visit([&](auto& it) { take(std::move(it), now); }, event);
    dropOverdue(now);
    return std::exchange(m_actions, {});
}

std::vector<CollectionAction> CollectionFollower::advance(MonotonicTime now)
{
    if (m_retryAt && *m_retryAt <= now) {
        m_retryAt.reset();
        m_actions.emplace_back(ListCollection {});
    }
    if (m_watchAt && *m_watchAt <= now) {
        watch(Duration(0), now);
    }
    dropOverdue(now);
    return std::exchange(m_actions, {});
}

std::optional<MonotonicTime> CollectionFollower::nextWakeup() const
{
    auto next = m_retryAt;
    if (m_watchAt) {
        next = std::min(next.value_or(*m_watchAt), *m_watchAt);
    }
    for (const auto& [name, until] : m_kept) {
        next = std::min(next.value_or(until), until);
    }
    return next;
}

void CollectionFollower::noteAnswer(MonotonicTime now)
{
    m_retryDelay = {};
    m_silence = now - m_answeredAt.value_or(now);
    m_answeredAt = now;
    if (!std::exchange(m_reachable, true)) {
        m_actions.emplace_back(CollectionReachable { true });
    }
}

void CollectionFollower::noteLapses(std::ptrdiff_t removed, MonotonicTime now)
{
    bool mostAtOnce = removed >= fewestLapsed
        && static_cast<double>(removed) >= lapsedFraction * static_cast<double>(m_items.size());
    if (mostAtOnce && m_silence >= m_options.shortestLapse) {
        m_returnedAt = now;
    }
}

void CollectionFollower::take(CollectionListed listed, MonotonicTime now)
{
    noteAnswer(now);
    m_startsTurns = true;
    m_listAgainAt = listed.list.isComplete ? std::nullopt : std::optional(now + m_options.incompleteListRetry);
    noteLapses(std::ssize(findMissing(listed.list)), now);
    replaceItems(std::move(listed.list), {}, now);
    watch(Duration(0), now);
}

void CollectionFollower::take(CollectionHeard heard, MonotonicTime now)
{
    if (takesHearsay() && heard.list.revision > m_itemsRevision) {
        auto revision = heard.list.revision;
        replaceItems(std::move(heard.list), heard.kept, now);
        m_itemsRevision = revision;
    }
}

void CollectionFollower::take(CollectionChangesHeard heard, MonotonicTime now)
{
    if (!takesHearsay() || heard.from != m_itemsRevision) {
        return;
    }
    apply(std::move(heard.changes.changes), now);
    m_itemsRevision = heard.changes.revision;
}

void CollectionFollower::take(const CollectionRoleChanged& role, MonotonicTime)
{
    if (role.watches && !m_watches && !m_calling) {
        m_calling = true;
        m_actions.emplace_back(ListCollection {});
    }
    m_watches = role.watches;
    m_turn = role.turn;
}

Duration CollectionFollower::watchWait()
{
    auto watchers = static_cast<Duration::rep>(std::max<std::size_t>(m_turn.watchers, 1));
    auto round
        = std::clamp<Duration>(m_options.renewalInterval * watchers, m_options.shortestWatch, m_options.longestWatch);
    auto place = static_cast<Duration::rep>(m_turn.rank) % watchers + 1;
    return std::exchange(m_startsTurns, false) ? round * place / watchers : round;
}

std::vector<std::string> CollectionFollower::findMissing(const CollectionList& list) const
{
    std::vector<std::string> missing;
    if (!list.isComplete) {
        return missing;
    }
    std::set<std::string_view> names;
    for (const auto& item : list.items) {
        names.insert(item.name);
    }
    for (const auto& [name, value] : m_items) {
        if (!names.contains(name)) {
            missing.push_back(name);
        }
    }
    return missing;
}

void CollectionFollower::replaceItems(CollectionList list, const std::vector<CollectionChange>& kept, MonotonicTime now)
{
    // What was written after the copy that the store was restored from is written again.
    if (m_known && restorationsOf(list.revision) > restorationsOf(m_revision)) {
        m_returnedAt = now;
    }
    auto missing = findMissing(list);
    for (auto& item : list.items) {
        put(std::move(item));
    }
    for (const auto& name : missing) {
        auto told = std::ranges::find(kept, name, [](const CollectionChange& it) { return it.item.name; });
        remove(name, told == kept.end() ? Duration(0) : told->keptFor, now);
    }
    if (!m_known) {
        for (const auto& it : kept) {
            m_items.emplace(it.item.name, it.item.value);
            keep(it.item.name, now + it.keptFor);
        }
    }
    m_changed = m_changed || !m_known;
    m_known = true;
    m_revision = list.revision;
}

void CollectionFollower::take(CollectionWatched watched, MonotonicTime now)
{
    noteAnswer(now);
    m_startsTurns = !watched.changes.changes.empty();
    auto pause = m_startsTurns ? m_options.watchPause : Duration(0);
    noteLapses(std::ranges::count_if(watched.changes.changes,
                   [&](const CollectionChange& it) { return it.removed && !m_kept.contains(it.item.name); }),
        now);
    apply(std::move(watched.changes.changes), now);
    m_revision = watched.changes.revision;
    if (m_watches && m_listAgainAt && *m_listAgainAt <= now) {
        m_actions.emplace_back(ListCollection {});
        return;
    }
    watch(pause, now);
}

void CollectionFollower::take(const CollectionHistoryLost&, MonotonicTime now)
{
    noteAnswer(now);
    m_actions.emplace_back(ListCollection {});
}

void CollectionFollower::take(const CollectionCallFailed&, MonotonicTime now)
{
    if (std::exchange(m_reachable, false)) {
        m_actions.emplace_back(CollectionReachable { false });
    }
    m_retryDelay = std::clamp(m_retryDelay * 2, m_options.firstRetry, m_options.longestRetry);
    m_retryAt = now + m_retryDelay;
}

void CollectionFollower::take(const CollectionStoreReturned& returned, MonotonicTime)
{
    m_returnedAt = std::max(m_returnedAt.value_or(returned.at), returned.at);
}

void CollectionFollower::apply(std::vector<CollectionChange> changes, MonotonicTime now)
{
    for (auto& change : changes) {
        if (change.removed) {
            remove(change.item.name, change.keptFor, now);
        } else {
            put(std::move(change.item));
        }
    }
}

void CollectionFollower::put(CollectionItem item)
{
    // An item that was kept is confirmed even if it did not change.
    m_changed = m_kept.erase(item.name) > 0 || m_changed;
    auto [it, created] = m_items.try_emplace(std::move(item.name));
    if (created || it->second != item.value) {
        it->second = std::move(item.value);
        m_changed = true;
    }
}

void CollectionFollower::remove(const std::string& name, Duration keptFor, MonotonicTime now)
{
    if (!m_items.contains(name)) {
        return;
    }
    auto until = now + keptFor;
    if (m_returnedAt) {
        until = std::max(until, *m_returnedAt + m_options.returnGrace);
    }
    if (now < until) {
        keep(name, until);
        return;
    }
    m_items.erase(name);
    m_kept.erase(name);
    m_changed = true;
}

void CollectionFollower::keep(const std::string& name, MonotonicTime until)
{
    // The list without the item is news for peers.
    m_changed = m_kept.emplace(name, until).second || m_changed;
}

void CollectionFollower::watch(Duration pause, MonotonicTime now)
{
    m_calling = m_watches;
    m_watchAt = m_watches && pause > Duration(0) ? std::optional(now + pause) : std::nullopt;
    if (m_watches && !m_watchAt) {
        m_actions.emplace_back(WatchCollection { m_revision, watchWait() });
    }
}

void CollectionFollower::dropOverdue(MonotonicTime now)
{
    for (auto it = m_kept.begin(); it != m_kept.end();) {
        if (it->second > now || (m_watches && !m_reachable)) {
            ++it;
            continue;
        }
        m_changed = m_items.erase(it->first) > 0 || m_changed;
        it = m_kept.erase(it);
    }
    if (std::exchange(m_changed, false)) {
        m_itemsRevision = std::max(m_itemsRevision, m_revision);
        m_actions.emplace_back(CollectionUpdated {});
    }
}

} // namespace lagoonspoke
