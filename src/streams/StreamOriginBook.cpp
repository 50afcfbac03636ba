#include "streams/StreamOriginBook.h"

#include <algorithm>

#include <boost/json.hpp>

#include "settings/JsonReader.h"

namespace lagoonspoke {

namespace json = boost::json;

namespace {

// Of one record: about 50 bytes each, and the store takes 1 MB.
constexpr std::size_t mostRecorded = 8192;

std::int64_t toWholeMilliseconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

// An array of texts and one number at the end, as in ["id", "target", "version", 1500].
bool isStreamEntry(const json::value& entry)
{
    const auto* fields = entry.if_array();
    return fields && fields->size() == 4 && fields->at(0).is_string() && fields->at(1).is_string()
        && fields->at(2).is_string() && fields->at(3).is_int64() && fields->at(3).get_int64() >= 0;
}

std::string textAt(const json::value& entry, std::size_t index)
{
    return std::string(entry.get_array().at(index).get_string());
}

} // namespace

void StreamOriginBook::setRetention(Duration retention, MonotonicTime now)
{
    if (!m_setRetention || retention >= m_retention) {
        m_retention = retention;
    }
    m_setRetention = retention;
    m_shrinksAt = now + m_retention;
}

void StreamOriginBook::setServers(const std::vector<BackendServer>& servers, MonotonicTime now)
{
    m_listed.clear();
    for (const auto& server : servers) {
        m_listed.emplace(server.target, server.softwareVersion);
    }
    advance(now);
}

void StreamOriginBook::advance(MonotonicTime now)
{
    if (m_setRetention && now >= m_shrinksAt) {
        m_retention = *m_setRetention;
    }
    for (const auto& [target, version] : m_listed) {
        bool wasMixed = isMixed(target);
        m_versions[target][version] = now;
        noteMixed(target, wasMixed);
    }
    for (auto& [target, versions] : m_versions) {
        std::erase_if(versions, [&](const auto& it) { return it.second + m_retention < now; });
    }
    std::erase_if(m_versions, [](const auto& it) { return it.second.empty(); });
    absl::erase_if(m_streams, [&](const auto& it) { return it.second.expires < now; });
}

void StreamOriginBook::noteMixed(const TargetName& target, bool wasMixed)
{
    if (!wasMixed && isMixed(target) && std::ranges::any_of(m_streams, [&](const auto& it) {
            return it.second.isOwn && it.second.target == target;
        })) {
        ++m_changed;
    }
}

bool StreamOriginBook::isMixed(const TargetName& target) const
{
    auto it = m_versions.find(target);
    return it != m_versions.end() && it->second.size() > 1;
}

bool StreamOriginBook::isMixed() const
{
    return std::ranges::any_of(m_versions, [](const auto& it) { return it.second.size() > 1; });
}

Outcome<StreamOriginBook::VersionNames> StreamOriginBook::parseVersions(std::string_view text)
{
    auto value = text.empty() ? Outcome<json::value>(json::object()) : parseJson(text);
    if (!value || !value->is_object()) {
        return makeError(ErrorCode::ProtocolViolation, "the stored software versions are no JSON object");
    }
    VersionNames names;
    for (const auto& [name, versions] : value->get_object()) {
        if (!versions.is_array()) {
            return makeError(ErrorCode::ProtocolViolation, "the software versions of a target are no list");
        }
        auto& target = names[TargetName(std::string(name))];
        for (const auto& version : versions.get_array()) {
            if (!version.is_string()) {
                return makeError(ErrorCode::ProtocolViolation, "a stored software version is no text");
            }
            target.emplace(std::string(version.get_string()));
        }
    }
    return names;
}

Outcome<void> StreamOriginBook::takeVersions(std::string_view text, MonotonicTime now)
{
    auto names = parseVersions(text);
    if (!names) {
        return tl::make_unexpected(names.error());
    }
    // How long ago a version was listed last is not known. One that was dropped here is not brought back by a text that
    // this instance has seen before.
    bool isNew = !m_versionsTaken || text != m_storedVersions;
    for (const auto& [target, versions] : *names) {
        bool wasMixed = isMixed(target);
        for (const auto& version : versions) {
            if (isNew) {
                m_versions[target].try_emplace(version, now);
            }
        }
        noteMixed(target, wasMixed);
    }
    m_versionsTaken = true;
    m_storedVersions = text;
    m_storedNames = std::move(*names);
    return {};
}

void StreamOriginBook::noteVersionsStored(std::string text)
{
    m_storedNames = parseVersions(text).value_or(VersionNames());
    m_storedVersions = std::move(text);
}

bool StreamOriginBook::areVersionsOutdated() const
{
    auto hasSameNames = [](const auto& known, const auto& stored) {
        return known.first == stored.first
            && std::ranges::equal(known.second, stored.second, {}, [](const auto& it) { return it.first; });
    };
    return m_versionsTaken
        && !std::equal(m_versions.begin(), m_versions.end(), m_storedNames.begin(), m_storedNames.end(), hasSameNames);
}

std::string StreamOriginBook::makeVersions() const
{
    json::object targets;
    for (const auto& [target, versions] : m_versions) {
        json::array names;
        for (const auto& [version, seen] : versions) {
            names.emplace_back(version.value());
        }
        targets[target.value()] = std::move(names);
    }
    return targets.empty() ? std::string() : json::serialize(targets);
}

bool StreamOriginBook::noteGranted(const std::string& callerId, const TargetName& target,
    const SoftwareVersion& version, Duration lifetime, MonotonicTime now)
{
    // The dispatcher may know of a server before this instance's list has it.
    bool wasMixed = isMixed(target);
    m_versions[target][version] = now;
    noteMixed(target, wasMixed);
    auto [it, isNew] = m_streams.try_emplace(callerId);
    bool changed = !isNew && it->second.version != version;
    bool isKnown = !isNew && !changed && it->second.target == target && it->second.isOwn;
    it->second = { target, version, now + lifetime, true };
    if (!isKnown && (isMixed(target) || !m_versionsTaken)) {
        ++m_changed;
    }
    return changed;
}

bool StreamOriginBook::isVersionStored(const TargetName& target, const SoftwareVersion& version) const
{
    auto it = m_storedNames.find(target);
    return it != m_storedNames.end() && it->second.contains(version);
}

std::optional<StreamOrigin> StreamOriginBook::findOwn(
    const std::string& callerId, const TargetName& target, MonotonicTime now) const
{
    auto it = m_streams.find(callerId);
    if (it == m_streams.end() || !it->second.isOwn || it->second.expires < now) {
        return std::nullopt;
    }
    // A route that now leads to another target does not bring the stream there.
    return it->second.target == target ? StreamOrigin { StreamOrigin::Source::Memory, it->second.version }
                                       : StreamOrigin();
}

StreamOrigin StreamOriginBook::findRead(const std::string& callerId, const TargetName& target, MonotonicTime now) const
{
    if (auto it = m_streams.find(callerId); it != m_streams.end() && it->second.expires >= now) {
        return it->second.target == target ? StreamOrigin { StreamOrigin::Source::Store, it->second.version }
                                           : StreamOrigin();
    }
    auto versions = m_versions.find(target);
    if (m_versionsTaken && versions != m_versions.end() && versions->second.size() == 1) {
        return { StreamOrigin::Source::OnlyVersion, versions->second.begin()->first };
    }
    return {};
}

std::string StreamOriginBook::makeRecord(MonotonicTime now) const
{
    json::array streams;
    for (const auto& [callerId, stream] : m_streams) {
        if (stream.isOwn && isMixed(stream.target) && stream.expires >= now && streams.size() < mostRecorded) {
            streams.push_back(json::array {
                callerId, stream.target.value(), stream.version.value(), toWholeMilliseconds(stream.expires - now) });
        }
    }
    return json::serialize(json::object { { "streams", std::move(streams) } });
}

Outcome<void> StreamOriginBook::takeRecord(std::string_view text, bool isOwn, MonotonicTime now)
{
    auto value = parseJson(text);
    const auto* record = value ? value->if_object() : nullptr;
    const auto* streams = record ? record->if_contains("streams") : nullptr;
    if (!streams || !streams->is_array() || !std::ranges::all_of(streams->get_array(), isStreamEntry)) {
        return makeError(ErrorCode::ProtocolViolation, "the record has no list of streams");
    }
    for (const auto& entry : streams->get_array()) {
        auto remaining = std::chrono::milliseconds(entry.get_array().at(3).get_int64());
        Stream stream { TargetName(textAt(entry, 1)), SoftwareVersion(textAt(entry, 2)),
            now + std::min<Duration>(remaining, m_retention), isOwn };
        auto [it, isNew] = m_streams.try_emplace(textAt(entry, 0), stream);
        if (!isNew && !it->second.isOwn) {
            it->second = std::move(stream);
        }
    }
    return {};
}

void StreamOriginBook::forgetStored()
{
    m_storedVersions.clear();
    m_storedNames.clear();
    m_stored = 0;
    ++m_changed;
}

} // namespace lagoonspoke
