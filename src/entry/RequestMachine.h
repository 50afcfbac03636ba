#pragma once

#include <memory>
#include <string_view>
#include <variant>
#include <vector>

#include "entry/RetryBudget.h"
#include "http/CallerError.h"
#include "lagoonspoke/dispatch/Messages.h"

namespace lagoonspoke {

enum class RequestState {
    ReadHead,
    Authenticate,
    ReadBody,
    AwaitGrant,
    Connect,
    Send,
    AwaitFirstByte,
    Stream,
    Finish,
};

std::string_view toString(RequestState);

enum class AttemptFailure {
    Unreachable, // no connection
    Broken, // the connection broke, or the answer is truncated
    TimedOut,
    Protocol, // crossed id, malformed answer
    Preempted, // the grant was revoked
    ServerLeaving, // the grant was revoked
};

std::string_view toString(AttemptFailure);

struct HeadRead { };
struct Authenticated { };
struct BodyRead {
    bool idempotent = true;
    // Whether a model engine can continue the answer after the tokens already sent.
    bool resumable = false;
    RetryBudget* budget = nullptr; // of the request's domain; outlives the machine
    // Backend servers that may run the request, or may have run it.
    int maxAttempts = 3;
    // Whether a kept connection may carry the request although it cannot be repeated.
    bool reusesConnection = false;
};
struct Granted {
    BackendServerId server;
};
struct PlacementRefused {
    RefusalCode code;
    Duration retryAfter {};
};
struct Connected {
    // The connection carried an earlier request.
    bool reused = false;
};
struct RequestSent { };
// The head of an answer to this very request arrived.
struct AnswerStarted {
    unsigned status = 200;
    // The server says that it did not run the request.
    bool notRun = false;
};
// The next write gives the first bytes of the answer to the caller.
struct CallerReached { };
// The whole answer arrived.
struct AnswerCompleted { };
struct AttemptFailed {
    AttemptFailure cause;
    // Whether any byte of the request was written in this attempt; counts in the state Send only.
    bool bytesWritten = true;
    // Whether the server took a new connection after this one broke, so that its process has not died.
    bool serverAccepts = false;
    // Whether this instance is cut off from the server, so that the failure says nothing of the server.
    bool cutOff = false;
};
// Nothing may be sent to the granted server any more. What it was sent before goes on.
struct GrantEnded { };
// Ends the request: refused, withdrawn key, deadline, caller left or stalled.
struct Stopped {
    CallerError reason;
    Duration retryAfter {};
};

using RequestEvent = std::variant<HeadRead, Authenticated, BodyRead, Granted, PlacementRefused, Connected, RequestSent,
    AnswerStarted, CallerReached, AnswerCompleted, AttemptFailed, GrantEnded, Stopped>;

std::string_view nameOf(const RequestEvent&);

struct DoAuthenticate { };
struct DoReadBody { };
struct AskForGrant {
    int attempt = 1;
    std::vector<BackendServerId> excluded;
};
struct OpenConnection {
    // A connection that never carried a request.
    bool fresh = false;
};
struct SendRequest { };
struct AwaitAnswer { };
struct RelayAnswer { };
// Closes the backend connection unless the outcome is Completed, and gives the grant back.
struct ReleaseGrant {
    FinishOutcome outcome;
};
// Gives the caller what is left of a complete answer.
struct FinishAnswer { };
// Answers with an error; nothing of an answer has reached the caller.
struct Refuse {
    CallerError code;
    RunStatus run;
    Duration retryAfter {};
};
// Ends an answer that has partly reached the caller, so that it is visibly truncated.
struct CutAnswer {
    CallerError code;
    RunStatus run;
};
// Ends the request of a caller that can receive nothing more.
struct DropCaller {
    CallerError code;
    RunStatus run;
};
// Logs an event that cannot happen in the state, which is a fault of the router. The actions after it end the request.
struct ReportUnexpectedEvent {
    RequestState state;
    std::string_view event;
};

using RequestAction = std::variant<DoAuthenticate, DoReadBody, AskForGrant, OpenConnection, SendRequest, AwaitAnswer,
    RelayAnswer, ReleaseGrant, FinishAnswer, Refuse, CutAnswer, DropCaller, ReportUnexpectedEvent>;

// Decides the steps of one request, from its head to the end of its answer: attempts, retries, resumption and what the
// caller is told. Pure: no sockets, no clock. Owned by the coroutine that runs the request. Of the actions of one
// event, only the last one leads to another event.
class RequestMachine {
public:
    RequestMachine();
    ~RequestMachine();
    RequestMachine(const RequestMachine&) = delete;
    RequestMachine& operator=(const RequestMachine&) = delete;

    // Every event but CallerReached and GrantEnded gives actions until the request has ended; one that no transition
    // takes ends it with CallerError::InternalError.
    std::vector<RequestAction> handle(const RequestEvent&);

    RequestState state() const;
    // Whether a running attempt could stop now and continue elsewhere. A preempted grant is obeyed only then.
    bool canMove() const;
    // Whether a running attempt has not been sent whole, so that it need not be sent to this server.
    bool canMoveUnsent() const;
    // Whether the failure would be reported as the server's death unless it still accepts connections.
    bool suggestsDeath(const AttemptFailed&) const;
    // What is true if the request ended now without an answer.
    RunStatus runStatus() const;
    bool callerReached() const;
    int attempts() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lagoonspoke
