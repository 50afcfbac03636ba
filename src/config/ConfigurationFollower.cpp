#include "config/ConfigurationFollower.h"

#include <algorithm>
#include <cassert>

#include "config/Shards.h"
#include "lagoonspoke/core/Overload.h"

namespace lagoonspoke {

ConfigurationFollower ConfigurationFollower::Make(Options options)
{
    return ConfigurationFollower(std::move(options));
}

ConfigurationFollower::ConfigurationFollower(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_sources(m_options.dataCentre)
{
    auto text = emptyShardText();
    m_blobs.emplace(digestContent(text), text);
}

ConfigurationFollower::Actions ConfigurationFollower::handle(const FollowerEvent& event, MonotonicTime now)
{
    Actions actions;
    std::visit(Overload {
                   [&](const HeadRead& it) {
                       m_readInFlight = false;
                       m_freshness.noteStore(m_readSent, answerBound, now);
                       handleStoreHead(it.head, actions);
                   },
                   [&](const WatchEnded& it) {
                       m_watchInFlight = false;
                       m_nextWatch = now;
                       m_freshness.noteStore(m_watchSent, watchWait + answerBound, now);
                       handleStoreHead(it.head, actions);
                   },
                   [&](const StoreCallFailed& it) { handleFailure(it, now); },
                   [&](const PeerHeadHeard& it) { handlePeerHead(it, now); },
                   [&](const BlobReceived& it) { handleBlob(it, actions); },
                   [&](const BlobNotAvailable& it) { handleMissingBlob(it); },
                   [&](const PeersChanged& it) { handlePeers(it); },
               },
        event);
    return finish(now, std::move(actions));
}

ConfigurationFollower::Actions ConfigurationFollower::advance(MonotonicTime now)
{
    Actions actions;
    if (now >= m_nextRound) {
        if (auto asked = m_freshness.startRound(now); !asked.empty()) {
            actions.emplace_back(AskPeers { std::move(asked) });
        }
        m_nextRound = now + FreshnessTracker::roundPeriod;
    }
    for (auto& [digest, fetch] : m_fetches) {
        if (fetch.deadline && now >= *fetch.deadline) {
            fetch.deadline.reset();
            fetch.current.reset();
        }
    }
    return finish(now, std::move(actions));
}

ConfigurationFollower::Actions ConfigurationFollower::finish(MonotonicTime now, Actions actions)
{
    pollStore(now, actions);
    continueFetches(now, actions);
    updateAdmission(now, actions);
    return actions;
}

std::optional<MonotonicTime> ConfigurationFollower::nextWakeup() const
{
    auto next = m_nextRound;
    if (isWatcher()) {
        next = m_watchInFlight ? next : std::min(next, m_nextWatch);
    } else if (!m_readInFlight) {
        next = std::min(next, m_nextRead);
    }
    for (const auto& [digest, fetch] : m_fetches) {
        next = std::min(next, fetch.deadline.value_or(next));
    }
    return std::min(next, m_admissionExpiry.value_or(next));
}

bool ConfigurationFollower::rankAsWatcher() const
{
    auto rank = [&](const InstanceId& id) {
        return std::pair(stableHash("config/watch/" + m_options.dataCentre.value() + "/" + id.value()), id);
    };
    auto own = rank(m_options.instance);
    auto better = std::ranges::count_if(m_peers,
        [&](const auto& it) { return it.reachable && it.dataCentre == m_options.dataCentre && rank(it.id) > own; });
    return static_cast<std::size_t>(better) < watchersPerDataCentre;
}

Duration ConfigurationFollower::currentReadPeriod() const
{
    return m_peers.size() + 1 > largeInstallation ? readPeriodLarge : readPeriod;
}

Duration ConfigurationFollower::jittered(Duration duration)
{
    return fromSeconds(toSeconds(duration) * std::uniform_real_distribution<double>(0.7, 1.0)(m_random));
}

void ConfigurationFollower::pollStore(MonotonicTime now, Actions& actions)
{
    if (isWatcher()) {
        if (!m_watchInFlight && now >= m_nextWatch) {
            m_watchInFlight = true;
            m_watchSent = now;
            actions.emplace_back(StartWatch { m_headVersion, watchWait });
        }
    } else if (now >= m_nextRead) {
        startRead(actions, now);
    }
}

void ConfigurationFollower::startRead(Actions& actions, MonotonicTime now)
{
    if (m_readInFlight) {
        return;
    }
    m_readInFlight = true;
    m_readSent = now;
    m_nextRead = now + jittered(currentReadPeriod());
    actions.emplace_back(ReadHead {});
}

void ConfigurationFollower::handleStoreHead(const std::optional<StoredValue>& head, Actions& actions)
{
    m_sources.noteStoreFailing(false);
    // Heads still wanted from the store were answered by this read, whatever it says.
    for (auto& [digest, fetch] : m_fetches) {
        if (fetch.isHead && fetch.current && !fetch.current->peer) {
            fetch.current.reset();
        }
    }
    if (head) {
        m_headVersion = std::max(m_headVersion, head->version);
        considerHead(head->value, actions);
    }
}

void ConfigurationFollower::handleFailure(const StoreCallFailed& failure, MonotonicTime now)
{
    m_sources.noteStoreFailing(true);
    if (failure.call == StoreCall::Watch) {
        m_watchInFlight = false;
        m_nextWatch = now + jittered(2 * retryDelay);
        return;
    }
    if (failure.call == StoreCall::ReadHead) {
        m_readInFlight = false;
    }
    for (auto& [digest, fetch] : m_fetches) {
        bool answered = failure.call == StoreCall::ReadHead ? fetch.isHead : digest == failure.blob;
        if (answered && fetch.current && !fetch.current->peer) {
            fetch.current.reset();
        }
    }
}

void ConfigurationFollower::handlePeerHead(const PeerHeadHeard& heard, MonotonicTime now)
{
    if (heard.from) {
        m_freshness.notePeer(*heard.from, now);
        m_sources.noteAnnounced(*heard.from, heard.number);
    }
    auto newest = m_candidate ? m_candidate->head.number : m_number;
    if (heard.number <= newest || heard.head.empty() || heard.head == m_rejected) {
        return;
    }
    auto [it, inserted] = m_fetches.try_emplace(heard.head);
    if (inserted) {
        it->second.number = heard.number;
        it->second.isHead = true;
    }
}

void ConfigurationFollower::handleBlob(const BlobReceived& blob, Actions& actions)
{
    auto it = m_fetches.find(blob.digest);
    if (it == m_fetches.end()) {
        return;
    }
    if (digestContent(blob.content) != blob.digest) {
        handleMissingBlob({ blob.from, blob.digest });
        return;
    }
    bool isHead = it->second.isHead;
    m_fetches.erase(it);
    if (isHead) {
        considerHead(blob.content, actions);
    } else {
        m_blobs.emplace(blob.digest, blob.content);
        tryToApply(actions);
    }
}

void ConfigurationFollower::handleMissingBlob(const BlobNotAvailable& missing)
{
    auto it = m_fetches.find(missing.digest);
    if (it != m_fetches.end() && it->second.current && it->second.current->peer == missing.from) {
        it->second.current.reset();
        it->second.deadline.reset();
    }
}

void ConfigurationFollower::handlePeers(const PeersChanged& changed)
{
    m_peers = changed.peers;
    m_sources.setPeers(m_peers);
    m_freshness.setPeers(m_options.instance, m_peers);
    m_isWatcher = rankAsWatcher();
}

void ConfigurationFollower::considerHead(const std::string& text, Actions& actions)
{
    auto digest = digestContent(text);
    auto head = readHead(text);
    auto newest = m_candidate ? m_candidate->head.number : m_number;
    if (digest == m_rejected || (head && head->number <= newest)) {
        return;
    }
    if (!head) {
        m_rejected = digest;
        std::vector<Error> errors { head.error() };
        actions.emplace_back(ReportInvalidHead { 0, std::move(errors) });
        return;
    }
    m_blobs.insert_or_assign(digest, text);
    startCandidate({ std::move(*head), std::move(digest) });
    tryToApply(actions);
}

void ConfigurationFollower::startCandidate(Candidate candidate)
{
    m_candidate = std::move(candidate);
    // Blobs of an older candidate and hints of older heads are no longer wanted.
    std::erase_if(m_fetches, [&](const auto& it) { return it.second.number <= m_candidate->head.number; });
    for (const auto& digest : m_candidate->head.shards) {
        if (!m_blobs.contains(digest)) {
            m_fetches.try_emplace(digest).first->second.number = m_candidate->head.number;
        }
    }
}

void ConfigurationFollower::tryToApply(Actions& actions)
{
    if (!m_candidate
        || !std::ranges::all_of(m_candidate->head.shards, [&](const auto& it) { return m_blobs.contains(it); })) {
        return;
    }
    auto candidate = std::move(*m_candidate);
    m_candidate.reset();
    assert(candidate.head.number > m_number);
    auto configuration = m_snapshot ? readChangedShards(candidate.head, m_blobs, m_head, m_snapshot->configuration())
                                    : readShards(candidate.head, m_blobs);
    if (!configuration) {
        m_rejected = candidate.digest;
        actions.emplace_back(ReportInvalidHead { candidate.head.number, std::move(configuration.error()) });
        return;
    }
    m_number = candidate.head.number;
    m_headDigest = candidate.digest;
    keepOnly(candidate.head, candidate.digest);
    m_head = std::move(candidate.head);
    m_snapshot = ConfigurationSnapshot::Make(std::move(*configuration));
    actions.emplace_back(ApplySnapshot { m_snapshot });
    actions.emplace_back(AnnounceHead { m_number, m_headDigest });
}

void ConfigurationFollower::keepOnly(const ConfigurationHead& head, const ContentDigest& digest)
{
    std::set<ContentDigest> wanted(head.shards.begin(), head.shards.end());
    wanted.insert(digest);
    wanted.insert(digestContent(emptyShardText()));
    std::erase_if(m_blobs, [&](const auto& it) { return !wanted.contains(it.first); });
}

void ConfigurationFollower::continueFetches(MonotonicTime now, Actions& actions)
{
    for (auto it = m_fetches.begin(); it != m_fetches.end();) {
        auto& [digest, fetch] = *it;
        if (!fetch.current && !fetch.deadline) {
            startFetch(digest, fetch, now, actions);
        }
        // A hint that nobody can back is dropped; the next round or read brings the head again if there is one.
        bool dropped = fetch.isHead && !fetch.current;
        it = dropped ? m_fetches.erase(it) : std::next(it);
    }
}

void ConfigurationFollower::startFetch(const ContentDigest& digest, Fetch& fetch, MonotonicTime now, Actions& actions)
{
    auto source = m_sources.next(digest, fetch.number, fetch.tried);
    if (!source) {
        fetch.tried = {};
        fetch.deadline = now + jittered(retryDelay);
        return;
    }
    if (source->peer) {
        fetch.tried.peers.insert(*source->peer);
        fetch.deadline = now + peerBound;
        actions.emplace_back(FetchBlob { digest, source->peer });
    } else if (fetch.isHead) {
        fetch.tried.store = true;
        startRead(actions, now);
    } else {
        auto running = std::ranges::count_if(m_fetches,
            [](const auto& it) { return !it.second.isHead && it.second.current && !it.second.current->peer; });
        if (running >= maxStoreFetches) {
            return;
        }
        fetch.tried.store = true;
        actions.emplace_back(FetchBlob { digest, std::nullopt });
    }
    fetch.current = source;
}

void ConfigurationFollower::updateAdmission(MonotonicTime now, Actions& actions)
{
    bool allowed = m_number > 0 && m_freshness.isFresh(now);
    m_admissionExpiry = m_freshness.expiry(now);
    if (allowed != m_admission) {
        m_admission = allowed;
        actions.emplace_back(SetKeyedAdmission { allowed });
    }
}

const std::string* ConfigurationFollower::findBlob(const ContentDigest& digest) const
{
    auto it = m_blobs.find(digest);
    return it == m_blobs.end() ? nullptr : &it->second;
}

} // namespace lagoonspoke
