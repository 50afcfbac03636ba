#include "daemon/DispatchRumours.h"

#include <charconv>

#include <fmt/format.h>

#include "lagoonspoke/core/Text.h"

namespace lagoonspoke {

namespace {

constexpr std::string_view floorPrefix = "floor/";
constexpr std::string_view quarantinePrefix = "quarantine/";

std::uint64_t makeVersion(MonotonicTime now)
{
    return static_cast<std::uint64_t>(now.time_since_epoch().count());
}

} // namespace

Rumour makeFloorRumour(const DomainId& domain, const InstanceId& from, Tier tier, MonotonicTime now)
{
    return { fmt::format("{}{}/{}", floorPrefix, domain.value(), from.value()), makeVersion(now),
        fmt::format("{}", tier.level) };
}

Rumour makeQuarantineRumour(Fingerprint fingerprint, Duration remaining, MonotonicTime now)
{
    auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    return { fmt::format("{}{:016x}", quarantinePrefix, static_cast<std::uint64_t>(fingerprint)), makeVersion(now),
        fmt::format("{}", milliseconds) };
}

std::optional<DomainFloorReceived> readFloorRumour(const Rumour& rumour)
{
    auto slash = rumour.key.rfind('/');
    auto level = parseNumber<std::uint8_t>(rumour.payload);
    if (!rumour.key.starts_with(floorPrefix) || slash < floorPrefix.size() || !level
        || rumour.age > FallbackPlacer::floorLifetime) {
        return std::nullopt;
    }
    DomainId domain(rumour.key.substr(floorPrefix.size(), slash - floorPrefix.size()));
    return DomainFloorReceived { std::move(domain), { InstanceId(rumour.key.substr(slash + 1)), { *level } } };
}

std::optional<QuarantineReceived> readQuarantineRumour(const Rumour& rumour)
{
    auto milliseconds = parseNumber<std::int64_t>(rumour.payload);
    if (!rumour.key.starts_with(quarantinePrefix) || !milliseconds || *milliseconds > 3'600'000) {
        return std::nullopt;
    }
    const char* begin = rumour.key.data() + quarantinePrefix.size();
    const char* end = rumour.key.data() + rumour.key.size();
    std::uint64_t fingerprint = 0;
    auto [rest, ec] = std::from_chars(begin, end, fingerprint, 16);
    auto remaining = std::chrono::milliseconds(*milliseconds) - rumour.age;
    if (ec != std::errc() || rest != end || remaining <= Duration(0)) {
        return std::nullopt;
    }
    return QuarantineReceived { Fingerprint(fingerprint), remaining };
}

} // namespace lagoonspoke
