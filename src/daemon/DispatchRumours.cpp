#include "daemon/DispatchRumours.h"

#include <charconv>
#include <span>

#include <absl/strings/str_split.h>
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

std::optional<Fingerprint> readFingerprint(std::string_view text)
{
    std::uint64_t number = 0;
    auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
    if (ec != std::errc() || rest != text.data() + text.size()) {
        return std::nullopt;
    }
    return Fingerprint(number);
}

} // namespace

Rumour makeFloorRumour(const DomainId& domain, const InstanceId& from, Tier tier, MonotonicTime now)
{
    return { fmt::format("{}{}/{}", floorPrefix, domain.value(), from.value()), makeVersion(now),
        fmt::format("{}", tier.level) };
}

// The payload is the remaining time in milliseconds, then the companions.
Rumour makeQuarantineRumour(const QuarantineReceived& quarantine, MonotonicTime now)
{
    auto payload
        = fmt::format("{}", std::chrono::duration_cast<std::chrono::milliseconds>(quarantine.remaining).count());
    for (auto companion : quarantine.companions) {
        fmt::format_to(std::back_inserter(payload), ",{:016x}", static_cast<std::uint64_t>(companion));
    }
    return { fmt::format("{}{:016x}", quarantinePrefix, static_cast<std::uint64_t>(quarantine.fingerprint)),
        makeVersion(now), std::move(payload) };
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
    if (!rumour.key.starts_with(quarantinePrefix)) {
        return std::nullopt;
    }
    std::vector<std::string> fields = absl::StrSplit(rumour.payload, ',');
    auto milliseconds = parseNumber<std::int64_t>(fields.front());
    auto fingerprint = readFingerprint(std::string_view(rumour.key).substr(quarantinePrefix.size()));
    if (!milliseconds || *milliseconds > 3'600'000 || !fingerprint) {
        return std::nullopt;
    }
    auto remaining = std::chrono::milliseconds(*milliseconds) - rumour.age;
    if (remaining <= Duration(0)) {
        return std::nullopt;
    }
    QuarantineReceived quarantine { *fingerprint, remaining };
    for (const auto& field : std::span(fields).subspan(1)) {
        auto companion = readFingerprint(field);
        if (!companion) {
            return std::nullopt;
        }
        quarantine.companions.push_back(*companion);
    }
    return quarantine;
}

} // namespace lagoonspoke
