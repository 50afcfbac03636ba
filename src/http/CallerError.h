#pragma once

#include <string>
#include <string_view>

#include "lagoonspoke/core/Error.h"

namespace lagoonspoke {

// Every error that a caller can receive, or that the log gives as the end of a request. docs/errors.md explains each.
enum class CallerError {
    MalformedRequest,
    HeaderTooLarge,
    HeaderTimeout,
    IdleTimeout,
    BodyTooLarge,
    BodyTimeout,
    TooManyConnections,
    HttpVersionNotSupported,
    UnsupportedTransferEncoding,
    InvalidTarget,
    UnknownRoute,
    MethodNotAllowed,
    InvalidKey,
    KeyInRequest,
    KeyWithdrawn,
    ClassNotAllowed,
    InvalidRequest,
    UnknownModel,
    NotReady,
    ShuttingDown,
    Overloaded,
    TeamLimit,
    QueueFull,
    DeadlineTooShort,
    Quarantined,
    NoServers,
    StreamVersionUnknown,
    StreamVersionGone,
    DeadlinePassed,
    BackendUnreachable,
    BackendFailed,
    BackendTimeout,
    BackendProtocol,
    InternalError,
    CallerLeft, // log and metrics only
    CallerStalled, // log and metrics only
};

// The stable code, such as "invalid_key".
std::string_view toString(CallerError);
unsigned httpStatusOf(CallerError);
std::string_view describe(CallerError);

// The JSON error object. The detail replaces the standard message; it must not come from the caller, as it is not
// escaped.
std::string formatErrorBody(CallerError, RunStatus, std::string_view detail = {});

} // namespace lagoonspoke
