#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace lagoonspoke {

// Whether a refused or failed request reached a backend server.
enum class RunStatus {
    NotRun, // no byte of it was sent to a backend server
    Unknown, // some of it was sent and no complete answer came back
    Ran, // a backend server answered
};

std::string_view toString(RunStatus);

enum class ErrorCode {
    InvalidArgument,
    NotFound,
    Conflict, // a conditional update met another version
    Unavailable, // the other side cannot be reached or refuses for now
    TimedOut, // no answer within the bound; the effect is unknown
    ProtocolViolation,
    TooLarge,
    Overloaded, // what is held for others leaves no room
};

std::string_view toString(ErrorCode);

struct Error {
    ErrorCode code;
    std::string message;
    // Path of the offending field, such as "teams[3].limits.concurrent"; empty when no field is meant.
    std::string path = {};
};

template <typename T> using Outcome = tl::expected<T, Error>;

inline tl::unexpected<Error> makeError(ErrorCode code, std::string message, std::string path = {})
{
    return tl::make_unexpected(Error { code, std::move(message), std::move(path) });
}

} // namespace lagoonspoke
