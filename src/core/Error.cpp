#include "lagoonspoke/core/Error.h"

namespace lagoonspoke {

std::string_view toString(RunStatus status)
{
    switch (status) {
    case RunStatus::NotRun:
        return "not-run";
    case RunStatus::Unknown:
        return "unknown";
    case RunStatus::Ran:
        return "ran";
    }
    return "unknown";
}

std::string_view toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid_argument";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::TimedOut:
        return "timed_out";
    case ErrorCode::ProtocolViolation:
        return "protocol_violation";
    case ErrorCode::TooLarge:
        return "too_large";
    case ErrorCode::Overloaded:
        return "overloaded";
    }
    return "invalid_argument";
}

} // namespace lagoonspoke
