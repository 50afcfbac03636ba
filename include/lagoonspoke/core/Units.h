#pragma once

#include <compare>
#include <cstdint>

namespace lagoonspoke {

// A count of model tokens.
struct Tokens {
    std::int64_t count = 0;

    auto operator<=>(const Tokens&) const = default;
    Tokens& operator+=(Tokens other)
    {
        count += other.count;
        return *this;
    }
    Tokens& operator-=(Tokens other)
    {
        count -= other.count;
        return *this;
    }
    friend Tokens operator+(Tokens left, Tokens right) { return left += right; }
    friend Tokens operator-(Tokens left, Tokens right) { return left -= right; }
};

// Priority level of a service tier; 0 is the highest.
struct Tier {
    std::uint8_t level = 0;

    auto operator<=>(const Tier&) const = default;
    bool isHigherThan(Tier other) const { return level < other.level; }
};

// Requests per second; finite and not negative.
struct RequestRate {
    double perSecond = 0;

    auto operator<=>(const RequestRate&) const = default;
};

// A hash that identifies requests with the same team, route and body.
enum class Fingerprint : std::uint64_t {};

// Hash of one block of a prompt's prefix, chained with all blocks before it.
enum class PrefixBlock : std::uint64_t {};

} // namespace lagoonspoke
