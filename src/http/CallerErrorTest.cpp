#include "http/CallerError.h"

#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace lagoonspoke {

// Guards against an error code that callers receive and that the documentation does not explain, or with another
// status.
TEST_CASE("the documentation lists every error with its status")
{
    // The tests run in the root of the checkout or in a build directory within it.
    std::ifstream file("docs/errors.md");
    if (!file) {
        file.open("../docs/errors.md");
    }
    REQUIRE(file);
    std::ostringstream text;
    text << file.rdbuf();
    for (int i = 0; i < static_cast<int>(CallerError::CallerLeft); ++i) {
        auto error = static_cast<CallerError>(i);
        auto row = fmt::format("| `{}` | {} |", toString(error), httpStatusOf(error));
        CAPTURE(row);
        REQUIRE(text.str().find(row) != std::string::npos);
    }
}

} // namespace lagoonspoke
