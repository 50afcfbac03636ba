#include "daemon/Evacuations.h"

#include <absl/strings/str_split.h>

namespace lagoonspoke {

namespace {

constexpr std::string_view rumourKey = "evacuations";
// Cannot be part of a name: names of data centres come from settings, which allow no commas.
constexpr char separator = ',';

} // namespace

Evacuations::Change Evacuations::learn(const EvacuationList& list, MonotonicTime now)
{
    Change change;
    if (m_known && list.revision <= m_revision) {
        return change;
    }
    m_known = true;
    m_revision = list.revision;
    for (const auto& [dataCentre, since] : m_since) {
        if (!list.dataCentres.contains(dataCentre)) {
            change.ended.push_back(dataCentre);
        }
    }
    for (const auto& dataCentre : change.ended) {
        m_since.erase(dataCentre);
    }
    for (const auto& dataCentre : list.dataCentres) {
        if (m_since.emplace(dataCentre, now).second) {
            change.begun.push_back(dataCentre);
        }
    }
    return change;
}

EvacuationList Evacuations::list() const
{
    EvacuationList list { m_revision, {} };
    for (const auto& [dataCentre, since] : m_since) {
        list.dataCentres.insert(dataCentre);
    }
    return list;
}

void Evacuations::mark(std::vector<BackendServer>& servers) const
{
    for (auto& server : servers) {
        server.evacuated = m_since.contains(server.dataCentre);
    }
}

std::optional<Rumour> Evacuations::makeRumour() const
{
    if (!m_known) {
        return std::nullopt;
    }
    std::string names;
    for (const auto& [dataCentre, since] : m_since) {
        if (!names.empty()) {
            names += separator;
        }
        names += dataCentre.value();
    }
    return Rumour { std::string(rumourKey), m_revision, std::move(names) };
}

std::optional<EvacuationList> Evacuations::readRumour(const Rumour& rumour)
{
    if (rumour.key != rumourKey) {
        return std::nullopt;
    }
    EvacuationList list { rumour.version, {} };
    for (auto name : absl::StrSplit(rumour.payload, separator, absl::SkipEmpty())) {
        list.dataCentres.insert(DataCentreId(std::string(name)));
    }
    return list;
}

} // namespace lagoonspoke
