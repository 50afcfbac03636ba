#pragma once

#include <array>
#include <cstdint>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// Predicts the output length of a request from the median of the recent lengths of its team and class or, while
// there are few, of its class alone. Owned by a dispatcher.
class LengthPredictor {
public:
    Tokens predict(const TeamId&, const ClassName&, Tokens outputLimit) const;
    void record(const TeamId&, const ClassName&, Tokens output);

private:
    // A short window adapts quickly when a team's traffic changes and needs little memory per team.
    static constexpr std::size_t sampleCount = 16;

    struct Samples {
        std::array<std::uint32_t, sampleCount> lengths {};
        std::uint32_t recorded = 0;

        void add(std::int64_t length);
        std::int64_t median() const;
    };

    absl::flat_hash_map<std::pair<TeamId, ClassName>, Samples> m_byTeam;
    absl::flat_hash_map<ClassName, Samples> m_byClass;
};

} // namespace lagoonspoke
