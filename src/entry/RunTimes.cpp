#include "entry/RunTimes.h"

#include <chrono>

namespace lagoonspoke {

void RunTimes::add(const ClassName& name, Duration lasted)
{
    auto [it, created] = m_estimates.try_emplace(name, Estimate { lasted, lasted / 2 });
    if (!created) {
        auto& [mean, deviation] = it->second;
        deviation += (std::chrono::abs(lasted - mean) - deviation) / 4;
        mean += (lasted - mean) / 8;
    }
}

std::optional<Duration> RunTimes::longest(const ClassName& name) const
{
    auto it = m_estimates.find(name);
    return it == m_estimates.end() ? std::nullopt : std::optional(it->second.mean + 4 * it->second.deviation);
}

} // namespace lagoonspoke
