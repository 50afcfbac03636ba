#include "dispatch/queue/LengthPredictor.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// Used until the first response of a class has finished.
constexpr std::int64_t initialLength = 256;
// Fewer samples of a team are less reliable than those of its whole class.
constexpr std::uint32_t minTeamSamples = 4;

} // namespace

void LengthPredictor::Samples::add(std::int64_t length)
{
    lengths.at(recorded % sampleCount) = static_cast<std::uint32_t>(std::clamp<std::int64_t>(length, 0, UINT32_MAX));
    ++recorded;
}

std::int64_t LengthPredictor::Samples::median() const
{
    auto sorted = lengths;
    auto count = std::min<std::size_t>(recorded, sampleCount);
    auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::nth_element(sorted.begin(), middle, sorted.begin() + static_cast<std::ptrdiff_t>(count));
    return *middle;
}

Tokens LengthPredictor::predict(const TeamId& team, const ClassName& className, Tokens outputLimit) const
{
    auto length = initialLength;
    if (auto it = m_byTeam.find({ team, className }); it != m_byTeam.end() && it->second.recorded >= minTeamSamples) {
        length = it->second.median();
    } else if (auto all = m_byClass.find(className); all != m_byClass.end()) {
        length = all->second.median();
    }
    return Tokens { outputLimit.count > 0 ? std::min(length, outputLimit.count) : length };
}

void LengthPredictor::record(const TeamId& team, const ClassName& className, Tokens output)
{
    m_byTeam[{ team, className }].add(output.count);
    m_byClass[className].add(output.count);
}

} // namespace lagoonspoke
