#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/dispatch/BackendServer.h"
#include "streams/StreamOrigins.h"

namespace lagoonspoke {

// Which software versions serve each target, and which of them began the streams that callers may still take up.
// While a target has one version, nothing is stored for its streams. From the moment that another one appears until
// the last stream of the old one has ended, each instance keeps a record of its streams in the store, those that run
// at that moment included. The versions themselves are always stored, so that an instance that starts knows of one
// that left while no instance was there. Pure; owned by StreamOriginService.
class StreamOriginBook {
public:
    // At least the time for which a caller may take a stream up; from the longest deadline of the configuration.
    // A shorter one takes effect once streams of before have ended.
    void setRetention(Duration, MonotonicTime now);
    void setServers(const std::vector<BackendServer>&, MonotonicTime now);
    // Forgets what no stream needs any more.
    void advance(MonotonicTime now);

    // The versions as the store has them; an empty text where it has none. Errors: ProtocolViolation.
    Outcome<void> takeVersions(std::string_view text, MonotonicTime now);
    // Whether the store lacks a version, or has one that nothing needs.
    bool areVersionsOutdated() const;
    // Whether the store has the version, as far as this instance has read or written it.
    bool isVersionStored(const TargetName&, const SoftwareVersion&) const;
    std::string makeVersions() const;
    void noteVersionsStored(std::string text);
    // Whether streams of more than one version may be taken up, of the target or of any.
    bool isMixed(const TargetName&) const;
    bool isMixed() const;

    // Whether an earlier grant of the request had another version.
    bool noteGranted(
        const std::string& callerId, const TargetName&, const SoftwareVersion&, Duration lifetime, MonotonicTime now);
    // What this instance knows of a request of its own. Nothing if only the store can tell.
    std::optional<StreamOrigin> findOwn(const std::string& callerId, const TargetName&, MonotonicTime now) const;
    // What the versions and records tell that were read after the caller asked. What was read before may be outdated:
    // a request can be granted another server until its stream begins.
    StreamOrigin findRead(const std::string& callerId, const TargetName&, MonotonicTime now) const;

    // This instance's record of its streams, of targets with several versions.
    std::string makeRecord(MonotonicTime now) const;
    // The record of another instance; isOwn for that of an earlier process of this one, which is carried on.
    // Errors: ProtocolViolation.
    Outcome<void> takeRecord(std::string_view text, bool isOwn, MonotonicTime now);
    // Whether the record in the store lacks a stream.
    bool isRecordOutdated() const { return m_changed > m_stored && isMixed(); }
    // Counts the changes of the record.
    std::uint64_t changes() const { return m_changed; }
    void noteRecordStored(std::uint64_t changes) { m_stored = std::max(m_stored, changes); }
    bool isRecordStored(std::uint64_t changes) const { return m_stored >= changes; }
    // The store may have lost the record and the versions.
    void forgetStored();

private:
    struct Stream {
        TargetName target;
        SoftwareVersion version;
        MonotonicTime expires;
        bool isOwn = true;
    };
    using Versions = std::map<SoftwareVersion, MonotonicTime>; // last listed then
    using VersionNames = std::map<TargetName, std::set<SoftwareVersion>>;

    static Outcome<VersionNames> parseVersions(std::string_view text);

    void noteMixed(const TargetName&, bool wasMixed);

    std::optional<Duration> m_setRetention; // the latest that was set
    Duration m_retention = std::chrono::seconds(30);
    MonotonicTime m_shrinksAt {};
    std::map<TargetName, Versions> m_versions;
    std::set<std::pair<TargetName, SoftwareVersion>> m_listed;
    bool m_versionsTaken = false;
    std::string m_storedVersions;
    VersionNames m_storedNames; // the same, parsed
    absl::flat_hash_map<std::string, Stream> m_streams; // by the caller's name of the request
    std::uint64_t m_changed = 0;
    std::uint64_t m_stored = 0;
};

} // namespace lagoonspoke
