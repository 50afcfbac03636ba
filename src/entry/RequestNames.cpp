// The names of states, events and failures in the log.
#include "entry/RequestMachine.h"
#include "lagoonspoke/core/Overload.h"

namespace lagoonspoke {

std::string_view toString(RequestState state)
{
    switch (state) {
    case RequestState::ReadHead:
        return "read_head";
    case RequestState::Authenticate:
        return "authenticate";
    case RequestState::ReadBody:
        return "read_body";
    case RequestState::AwaitGrant:
        return "await_grant";
    case RequestState::Connect:
        return "connect";
    case RequestState::Send:
        return "send";
    case RequestState::AwaitFirstByte:
        return "await_first_byte";
    case RequestState::Stream:
        return "stream";
    case RequestState::Finish:
        break;
    }
    return "finish";
}

std::string_view nameOf(const RequestEvent& event)
{
    using Name = std::string_view;
    return std::visit(Overload {
                          [](const HeadRead&) -> Name { return "head_read"; },
                          [](const Authenticated&) -> Name { return "authenticated"; },
                          [](const BodyRead&) -> Name { return "body_read"; },
                          [](const Granted&) -> Name { return "granted"; },
                          [](const PlacementRefused&) -> Name { return "placement_refused"; },
                          [](const Connected&) -> Name { return "connected"; },
                          [](const RequestSent&) -> Name { return "request_sent"; },
                          [](const AnswerStarted&) -> Name { return "answer_started"; },
                          [](const CallerReached&) -> Name { return "caller_reached"; },
                          [](const AnswerCompleted&) -> Name { return "answer_completed"; },
                          [](const AttemptFailed& it) -> Name { return toString(it.cause); },
                          [](const GrantEnded&) -> Name { return "grant_ended"; },
                          [](const Stopped&) -> Name { return "stopped"; },
                      },
        event);
}

std::string_view toString(AttemptFailure cause)
{
    switch (cause) {
    case AttemptFailure::Unreachable:
        return "unreachable";
    case AttemptFailure::Broken:
        return "broken";
    case AttemptFailure::TimedOut:
        return "timed_out";
    case AttemptFailure::Protocol:
        return "protocol";
    case AttemptFailure::Preempted:
        return "preempted";
    case AttemptFailure::ServerLeaving:
        break;
    }
    return "server_leaving";
}

} // namespace lagoonspoke
