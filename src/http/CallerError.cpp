#include "http/CallerError.h"

#include <array>
#include <cassert>

#include <fmt/format.h>

namespace lagoonspoke {

namespace {

struct Entry {
    CallerError error;
    std::string_view code;
    unsigned status;
    std::string_view message;
};

constexpr std::array entries {
    Entry { CallerError::MalformedRequest, "malformed_request", 400, "the request is not valid HTTP/1.1" },
    Entry { CallerError::HeaderTooLarge, "header_too_large", 431, "the request's head is larger than the limit" },
    Entry { CallerError::HeaderTimeout, "header_timeout", 408, "the request's head did not arrive in time" },
    Entry { CallerError::IdleTimeout, "idle_timeout", 408, "no request arrived on the connection in time" },
    Entry { CallerError::BodyTooLarge, "body_too_large", 413, "the request's body is larger than the limit" },
    Entry { CallerError::BodyTimeout, "body_timeout", 408, "the request's body did not arrive in time" },
    Entry { CallerError::TooManyConnections, "too_many_connections", 503, "the instance has too many connections" },
    Entry { CallerError::HttpVersionNotSupported, "http_version_not_supported", 505, "only HTTP/1.1 is supported" },
    Entry { CallerError::UnsupportedTransferEncoding, "unsupported_transfer_encoding", 501,
        "only the transfer encoding 'chunked' is supported" },
    Entry {
        CallerError::InvalidTarget, "invalid_target", 400, "the target must be an absolute path without dot segments" },
    Entry { CallerError::UnknownRoute, "unknown_route", 404, "there is no such route" },
    Entry { CallerError::MethodNotAllowed, "method_not_allowed", 405, "the route does not serve this method" },
    Entry { CallerError::InvalidKey, "invalid_key", 401, "the API key is missing or not valid" },
    Entry {
        CallerError::KeyInRequest, "key_in_request", 400, "the API key also appears outside the Authorization header" },
    Entry { CallerError::KeyWithdrawn, "key_withdrawn", 401, "the API key was withdrawn" },
    Entry { CallerError::ClassNotAllowed, "class_not_allowed", 403, "the team may not use the requested class" },
    Entry { CallerError::InvalidRequest, "invalid_request", 400, "the body must be a JSON object with a model" },
    Entry { CallerError::UnknownModel, "unknown_model", 404, "there is no such model" },
    Entry { CallerError::NotReady, "not_ready", 503, "the instance has no current configuration" },
    Entry { CallerError::ShuttingDown, "shutting_down", 503, "the instance is shutting down" },
    Entry { CallerError::Overloaded, "overloaded", 503, "there is no capacity for the request's class" },
    Entry { CallerError::TeamLimit, "team_limit", 429, "a limit of the team is reached" },
    Entry { CallerError::QueueFull, "queue_full", 503, "the queue of the request's class is full" },
    Entry { CallerError::DeadlineTooShort, "deadline_too_short", 503, "the request cannot be served in time" },
    Entry { CallerError::Quarantined, "quarantined", 422, "the request stopped backend servers and is quarantined" },
    Entry { CallerError::NoServers, "no_servers", 503, "no backend server serves the target" },
    Entry { CallerError::StreamVersionUnknown, "stream_version_unknown", 503,
        "it is not known which software version began the stream, so it cannot go on" },
    Entry { CallerError::StreamVersionGone, "stream_version_gone", 503,
        "no backend server has the software version that began the stream" },
    Entry { CallerError::DeadlinePassed, "deadline_passed", 504, "no response arrived before the deadline" },
    Entry { CallerError::BackendUnreachable, "backend_unreachable", 502, "the backend server cannot be reached" },
    Entry { CallerError::BackendFailed, "backend_failed", 502, "the connection to the backend server broke" },
    Entry { CallerError::BackendTimeout, "backend_timeout", 504, "the backend server made no progress in time" },
    Entry { CallerError::BackendProtocol, "backend_protocol", 502, "the backend server's response was not usable" },
    Entry { CallerError::InternalError, "internal_error", 500, "the request ended by a fault of the router" },
    Entry { CallerError::CallerLeft, "caller_left", 499, "the caller closed the connection" },
    Entry { CallerError::CallerStalled, "caller_stalled", 499, "the caller did not read the response in time" },
};

constexpr bool isOrdered()
{
    for (std::size_t i = 0; i < entries.size(); ++i) {
        if (static_cast<std::size_t>(entries[i].error) != i) {
            return false;
        }
    }
    return entries.size() == static_cast<std::size_t>(CallerError::CallerStalled) + 1;
}

static_assert(isOrdered(), "the table must list every error in the order of the enumeration");

const Entry& entryOf(CallerError error)
{
    return entries[static_cast<std::size_t>(error)];
}

} // namespace

std::string_view toString(CallerError error)
{
    return entryOf(error).code;
}

unsigned httpStatusOf(CallerError error)
{
    return entryOf(error).status;
}

std::string_view describe(CallerError error)
{
    return entryOf(error).message;
}

std::string formatErrorBody(CallerError error, RunStatus run, std::string_view detail)
{
    return fmt::format(R"({{"error":{{"code":"{}","message":"{}","type":"lagoonspoke_error","run":"{}"}}}})",
        toString(error), detail.empty() ? describe(error) : detail, toString(run));
}

} // namespace lagoonspoke
