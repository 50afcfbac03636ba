#include "config/DocumentFollower.h"

#include <algorithm>

#include "lagoonspoke/core/Overload.h"

namespace lagoonspoke {

DocumentFollower::DocumentFollower(Options options, DecodeDocument decode)
    : m_options(options)
    , m_decode(std::move(decode))
    , m_random(options.seed)
{
}

std::vector<DocumentAction> DocumentFollower::handle(const DocumentEvent& event, MonotonicTime now)
{
    std::visit(Overload {
                   [&](const DocumentRead& it) { take(it.text, true, now); },
                   [&](const DocumentStoreReachable& it) { m_reachable = it.reachable; },
                   [&](const DocumentPeersChanged& it) {
                       m_peers = it.peers;
                       removeLostHolders();
                   },
                   [&](const DocumentNumberHeard& it) { hearNumber(it, now); },
                   [&](const DocumentWanted& it) {
                       if (m_number > 0) {
                           m_actions.emplace_back(SendDocument { it.from, m_text });
                       }
                   },
                   [&](const DocumentReceived& it) { take(it.text, false, now); },
                   [&](const DocumentRoleChanged& it) {
                       m_reads = it.reads;
                       m_recipients = it.recipients;
                   },
               },
        event);
    return advance(now);
}

std::vector<DocumentAction> DocumentFollower::advance(MonotonicTime now)
{
    if (m_confirmsUntil && now >= *m_confirmsUntil) {
        m_confirmsUntil.reset();
    }
    askForNewer(now);
    if (asks() && now >= m_nextAsk) {
        askPeers(now);
    }
    return std::exchange(m_actions, {});
}

void DocumentFollower::askPeers(MonotonicTime now)
{
    bool alone = isAlone() || m_confirmsUntil;
    m_nextAsk = now + (alone ? m_options.askInterval : m_options.listenerAskInterval);
    m_actions.emplace_back(TellNumber { pickPeers(alone ? m_options.askedPeers : 1), m_number, true });
}

std::vector<InstanceId> DocumentFollower::peersToTell()
{
    if (!m_reads) {
        return {};
    }
    return m_recipients.empty() ? pickPeers(m_options.fanOut) : m_recipients;
}

std::optional<MonotonicTime> DocumentFollower::nextWakeup() const
{
    std::optional<MonotonicTime> next;
    if (m_newer) {
        next = m_newer->askAt;
    }
    if (asks()) {
        next = std::min(next.value_or(m_nextAsk), m_nextAsk);
    }
    return next;
}

void DocumentFollower::take(const std::string& text, bool isFromStore, MonotonicTime now)
{
    if (isFromStore && !std::exchange(m_hasReadStore, true)) {
        m_confirmsUntil = now + m_options.confirmationTime;
        m_nextAsk = now;
    }
    if (text == m_text || text == m_refused) {
        return;
    }
    auto configuration = m_decode(text);
    if (!configuration) {
        m_refused = text;
        m_actions.emplace_back(ReportInvalidDocument { configuration.error() });
        return;
    }
    if (configuration->number <= m_number) {
        if (isFromStore && configuration->number < m_number) {
            m_actions.emplace_back(KeepDocument { configuration->number, m_number });
            if (auto peers = peersToTell(); !peers.empty()) {
                m_actions.emplace_back(TellNumber { std::move(peers), m_number, false });
            }
        }
        return;
    }
    m_number = configuration->number;
    m_text = text;
    m_actions.emplace_back(ApplyDocument { ConfigurationSnapshot::Make(std::move(*configuration)) });
    if (m_newer && m_newer->number <= m_number) {
        m_newer.reset();
    }
    // At the start peers are asked at once, else they had the time to tell.
    m_nextAsk = m_confirmsUntil ? now : now + m_options.askInterval;
    if (auto peers = peersToTell(); !peers.empty()) {
        m_actions.emplace_back(TellNumber { std::move(peers), m_number, false });
    }
}

std::uint64_t DocumentFollower::numberOf(std::string_view text) const
{
    auto configuration = m_decode(text);
    return configuration ? configuration->number : 0;
}

void DocumentFollower::hearNumber(const DocumentNumberHeard& heard, MonotonicTime now)
{
    if (heard.number > m_number) {
        if (!m_newer || m_newer->number < heard.number) {
            auto headStart = m_reads && m_reachable ? m_options.storeHeadStart : Duration(0);
            m_newer = Newer { { heard.from }, heard.number, now + headStart };
        } else if (m_newer->number == heard.number) {
            addHolder(heard.from);
        }
    } else if (heard.replyWanted && heard.number < m_number) {
        m_actions.emplace_back(TellNumber { { heard.from }, m_number, false });
    }
}

void DocumentFollower::addHolder(const InstanceId& peer)
{
    auto& holders = m_newer->peers;
    if (holders.size() < m_options.maxHolders && !std::ranges::count(holders, peer)) {
        holders.insert(holders.begin(), peer);
    }
}

void DocumentFollower::removeLostHolders()
{
    if (!m_newer) {
        return;
    }
    std::erase_if(m_newer->peers, [&](const InstanceId& it) { return !std::ranges::count(m_peers, it); });
    if (m_newer->peers.empty()) {
        m_newer.reset();
    }
}

// A holder that does not reply may be cut off, suspended or gone, so the next one is asked after it.
void DocumentFollower::askForNewer(MonotonicTime now)
{
    if (!m_newer || m_newer->askAt > now) {
        return;
    }
    auto& holders = m_newer->peers;
    m_actions.emplace_back(AskForDocument { holders.front() });
    std::rotate(holders.begin(), holders.begin() + 1, holders.end());
    m_newer->askAt = now + m_options.askInterval;
}

std::vector<InstanceId> DocumentFollower::pickPeers(std::size_t count)
{
    std::vector<InstanceId> picked;
    std::ranges::sample(m_peers, std::back_inserter(picked), static_cast<std::ptrdiff_t>(count), m_random);
    return picked;
}

} // namespace lagoonspoke
