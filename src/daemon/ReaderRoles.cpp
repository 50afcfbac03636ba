#include "daemon/ReaderRoles.h"

#include <algorithm>
#include <map>

#include "membership/Rendezvous.h"

namespace lagoonspoke {

namespace {

constexpr std::string_view readerKey = "reader";

} // namespace

ReaderRoles::ReaderRoles(Options options)
    : m_options(std::move(options))
{
}

void ReaderRoles::setMembers(const std::vector<Member>& members, MonotonicTime now)
{
    std::map<DataCentreId, std::vector<Member>> eligible;
    auto total = static_cast<std::size_t>(std::ranges::count_if(members, isEligible));
    for (const auto& member : members) {
        if (isEligible(member)) {
            eligible[member.dataCentre].push_back(member);
        }
    }
    auto before = std::exchange(m_readers, {});
    m_listeners.clear();
    m_otherReaders.clear();
    std::vector<InstanceId> others;
    for (const auto& member : members) {
        if (isEligible(member) && member.id != m_options.self) {
            others.push_back(member.id);
        }
    }
    m_turn = placeAmong(others);
    if (total <= m_options.smallFleet) {
        m_isReader = true;
        return;
    }
    const auto& near = eligible[m_options.dataCentre];
    for (const auto& [dataCentre, there] : eligible) {
        for (const auto* member : chooseReaders(there)) {
            if (dataCentre == m_options.dataCentre) {
                auto known = std::ranges::find(before, member->id, &Reader::id);
                m_readers.push_back({ member->id, known == before.end() ? std::nullopt : known->heard });
            }
            if (member->id != m_options.self) {
                m_otherReaders.push_back(member->id);
            }
        }
    }
    auto isOneOf = [&](const InstanceId& id) { return std::ranges::count(m_readers, id, &Reader::id) > 0; };
    auto wasReader = std::exchange(m_isReader, isOneOf(m_options.self));
    if (wasReader && !m_isReader) {
        m_changedAt = now;
    }
    if (m_isReader) {
        m_turn = placeAmong(m_otherReaders);
        for (const auto& member : near) {
            if (!isOneOf(member.id)) {
                m_listeners.push_back(member.id);
            }
        }
    }
}

std::vector<const Member*> ReaderRoles::chooseReaders(const std::vector<Member>& dataCentre) const
{
    auto region = dataCentre.empty() ? RegionId() : dataCentre.front().region;
    return topMembers(readerKey, region, dataCentre, m_options.readersPerDataCentre);
}

WatchTurn ReaderRoles::placeAmong(const std::vector<InstanceId>& others) const
{
    auto before = std::ranges::count_if(others, [&](const InstanceId& it) { return it < m_options.self; });
    return { static_cast<std::size_t>(before), others.size() + 1 };
}

std::vector<InstanceId> ReaderRoles::recipients() const
{
    if (!m_isReader) {
        return {};
    }
    auto recipients = m_listeners;
    recipients.insert(recipients.end(), m_otherReaders.begin(), m_otherReaders.end());
    return recipients;
}

void ReaderRoles::noteReader(const InstanceId& id, MonotonicTime now)
{
    if (auto it = std::ranges::find(m_readers, id, &Reader::id); it != m_readers.end()) {
        it->heard = now;
    }
}

bool ReaderRoles::isSilent(const Reader& reader, MonotonicTime now) const
{
    return now > std::max(m_changedAt, reader.heard.value_or(m_changedAt)) + m_options.silenceBound;
}

bool ReaderRoles::reads(MonotonicTime now) const
{
    return m_isReader || std::ranges::all_of(m_readers, [&](const Reader& it) { return isSilent(it, now); });
}

bool ReaderRoles::isFollowed(const InstanceId& id, MonotonicTime now) const
{
    for (const auto& reader : m_readers) {
        if (reader.id == id) {
            return true;
        }
        if (reader.heard && !isSilent(reader, now)) {
            return false;
        }
    }
    return false;
}

} // namespace lagoonspoke
