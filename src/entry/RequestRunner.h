#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <boost/intrusive/list.hpp>

#include "entry/AnswerRelay.h"
#include "entry/BackendPool.h"
#include "entry/CallerDialect.h"
#include "entry/PlacementClient.h"
#include "entry/RunTimes.h"
#include "entry/ServerConnector.h"
#include "http/CallerWatch.h"
#include "lagoonspoke/usage/UsageRecord.h"
#include "observe/RequestMetrics.h"
#include "streams/StreamOrigins.h"

namespace lagoonspoke {

// Receives what a request used. Awaited for at most 50 ms before the last bytes of a complete response go out, and
// called without waiting for others.
using UsageSink = std::function<asio::awaitable<void>(UsageRecord)>;

// What the requests of one traffic thread share. Owned by the CallerService.
struct EntryServices {
    const CallerDialect& dialect;
    const DaemonSettings& settings;
    PlacementClient& placement;
    RequestMetrics& metrics;
    BackendPool pool;
    ServerConnector connector;
    UsageSink usageSink;
    std::map<DomainId, RetryBudget> budgets;
    // False while the instance cannot know whether keys were withdrawn.
    bool admitsKeys = true;
    RunTimes runTimes {};
    HeldBytes heldAnswers {};
    // In a shutdown, the time by which every request has its final answer.
    std::optional<MonotonicTime> requestsEnd {};
    // Null where no store tells of streams that other processes began.
    std::shared_ptr<StreamOrigins> streamOrigins {};
};

// Runs one request: feeds the RequestMachine with what happens on the sockets and executes its actions.
// Owned by the coroutine of the caller's connection; listed by the CallerService for withdrawn keys and revocations.
class RequestRunner
    : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>,
      private AnswerObserver {
public:
    RequestRunner(EntryServices&, HttpExchange&, RequestId, SnapshotPtr);
    ~RequestRunner() override;

    asio::awaitable<void> run();
    // Ends the request: withdrawn key, deadline, caller left.
    void stop(CallerError reason);
    // Ends a request that waits for a backend server, if its run would not end before the shutdown does.
    void stopLateWait();
    // Moves the request to another backend server if that is possible, and necessary.
    void revoke(const Revoke&);

    const RequestId& id() const { return m_id; }
    const KeyDigest& keyDigest() const { return m_request.keyDigest; }
    TeamId team() const { return m_request.team ? m_request.team->name : TeamId(); }

private:
    using Next = asio::awaitable<std::optional<RequestEvent>>;

    Next perform(RequestAction);
    Next authenticate();
    Next readBody();
    Next askForGrant(AskForGrant);
    // Binds a stream that the caller takes up to the software version that began it. Gives why it cannot go on.
    asio::awaitable<std::optional<CallerError>> bindTakenUpStream();
    // Makes the version of the granted server known, should the caller take the stream up elsewhere. False if that
    // failed and an earlier grant had another version.
    asio::awaitable<bool> noteStreamGrant();
    Next openConnection(OpenConnection);
    Next sendRequest();
    Next awaitAnswer();
    Next relayAnswer();
    Next finishAnswer();
    Next refuse(Refuse);
    Next cut(CutAnswer);

    void noteReceived(int tokens) override;
    void noteCallerReached() override;
    void noteStreamFault(StreamFault, std::string_view bytes) override;
    void setWait(Wait wait) override { m_wait = wait; }
    bool isInterrupted() const override { return m_interrupt.has_value(); }

    asio::awaitable<void> respondModels();
    void releaseGrant(FinishOutcome);
    void logFailedAttempt(const AttemptFailed&) const;
    void logUnexpectedEvent(const ReportUnexpectedEvent&) const;
    Duration deathCheckBound() const;
    // Finds out whether the granted server takes a new connection, as a process that has died does not.
    asio::awaitable<void> checkServer(AttemptFailed&);
    // Finds out whether an answer that ended with its connection is whole, as the kernel ends the connections of a
    // killed process in the same way.
    asio::awaitable<bool> confirmEnd();
    // Whether a stream has brought as many tokens as the request allows.
    bool hasAllTokens() const;
    RequestEvent chooseEvent(RequestEvent);
    void interrupt(RequestEvent);
    void startDeadline();
    void awaitDeadline(Duration left);
    void passDeadline();
    // Ends a started response whose server takes no new connection; otherwise it is checked again later.
    static asio::awaitable<void> endIfGone(std::shared_ptr<RequestRunner*> self, Grant);
    void watchCaller();
    bool isExpectedAnswer(const BackendAnswer&) const;
    // Reports a request limit to the dispatcher at once.
    void noteLimit(const BackendAnswer&);
    // Reports at once that the server takes no further request from this instance.
    void noteSignal(const BackendAnswer&);
    // Whether the server had the request for long enough to begin on it.
    bool mayHaveBegun() const;
    // The id that backend servers echo.
    const std::string& backendId() const { return m_request.callerId.empty() ? m_id.value() : m_request.callerId; }
    PlaceRequest makePlaceRequest(const AskForGrant&) const;
    Duration remaining() const;
    // Whether a run that starts now is expected to end before the shutdown does; true without a shutdown.
    bool endsBeforeShutdown() const;
    Progress makeProgress() const;
    // Counts the request as begun, once, where usage goes by that.
    void countStart();
    UsageRecord makeUsage(bool completed) const;
    asio::awaitable<void> recordUsage();
    void conclude();
    // Milliseconds; -1 for what did not happen.
    double sinceArrival(MonotonicTime) const;

    EntryServices& m_services;
    HttpExchange& m_exchange;
    RequestId m_id;
    SnapshotPtr m_snapshot; // keeps the team and the class alive
    RequestMachine m_machine;
    AnswerRelay m_relay;
    AdmittedRequest m_request;
    std::string m_body;
    DomainId m_domain;
    Fingerprint m_fingerprint {};
    std::optional<Grant> m_grant;
    std::unique_ptr<BackendConnection> m_connection;
    std::optional<CallerWatch> m_watch;
    asio::steady_timer m_deadline;
    // Handlers that may run after this object is gone see null.
    std::shared_ptr<RequestRunner*> m_self;
    Wait m_wait = Wait::Nothing;
    std::optional<RequestEvent> m_interrupt;
    bool m_concluding = false;
    RequestMetrics::Series* m_series = nullptr;

    // What the log and the metrics tell.
    MonotonicTime m_arrival;
    MonotonicTime m_grantedAt;
    MonotonicTime m_attemptStart;
    MonotonicTime m_sent; // the whole request, in this attempt
    int m_sendsOnGrant = 0;
    MonotonicTime m_lastToken;
    MonotonicTime m_lastReport;
    Duration m_queueTime {};
    std::optional<Duration> m_firstToken;
    bool m_firstByteReported = false;
    bool m_startCounted = false;
    BackendServerId m_server;
    SoftwareVersion m_serverVersion;
    bool m_throughPeer = false; // the latest attempt
    // Of the server that began the stream, once the caller has a part of it.
    std::optional<SoftwareVersion> m_streamVersion;
    std::string_view m_code = "ok";
    RunStatus m_run = RunStatus::Ran;
    Duration m_retryAfter {};
    // The limits that the server named in this attempt, once an answer showed whether it has any.
    bool m_limitSeen = false;
    std::optional<RequestRate> m_limit;
    std::optional<RequestRate> m_rejectionLimit;
};

} // namespace lagoonspoke
