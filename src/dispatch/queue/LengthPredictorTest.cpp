#include "dispatch/queue/LengthPredictor.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

// Guards against predicting a team's output lengths, and so its charges, from those of another team.
TEST_CASE("the length comes from the team's own recent median, else from its class")
{
    LengthPredictor predictor;
    const ClassName chat("chat");
    REQUIRE(predictor.predict(TeamId("a"), chat, {}).count == 256);
    for (int i = 0; i < 20; ++i) {
        predictor.record(TeamId("a"), chat, Tokens { i < 10 ? 9000 : 40 });
    }
    predictor.record(TeamId("b"), chat, Tokens { 700 });
    REQUIRE(predictor.predict(TeamId("a"), chat, {}).count == 40);
    REQUIRE(predictor.predict(TeamId("b"), chat, {}).count == 40);
    REQUIRE(predictor.predict(TeamId("a"), chat, Tokens { 16 }).count == 16);
}

} // namespace lagoonspoke
