#include "entry/RequestRunner.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include "entry/Prompt.h"
#include "lagoonspoke/core/Overload.h"
#include "observe/LogLine.h"

namespace lagoonspoke {

namespace {

CallerHead copyHead(const HttpExchange& exchange)
{
    const auto& request = exchange.request();
    return { std::string(request.method_string()), std::string(exchange.target()), copyHeaders(request) };
}

CallerError errorOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::TooLarge:
        return CallerError::BodyTooLarge;
    case ErrorCode::Overloaded:
        return CallerError::Overloaded;
    case ErrorCode::TimedOut:
        return CallerError::BodyTimeout;
    case ErrorCode::Unavailable:
        return CallerError::CallerLeft;
    default:
        return CallerError::MalformedRequest;
    }
}

} // namespace

RequestRunner::RequestRunner(EntryServices& services, HttpExchange& exchange, RequestId id, SnapshotPtr snapshot)
    : m_services(services)
    , m_exchange(exchange)
    , m_id(std::move(id))
    , m_snapshot(std::move(snapshot))
    , m_relay(exchange, services.settings, services.heldAnswers, *this)
    , m_deadline(exchange.socket().get_executor())
    , m_self(std::make_shared<RequestRunner*>(this))
    , m_arrival(readMonotonicClock())
{
}

RequestRunner::~RequestRunner()
{
    *m_self = nullptr;
}

asio::awaitable<void> RequestRunner::run()
{
    auto actions = m_machine.handle(HeadRead {});
    while (!actions.empty()) {
        std::optional<RequestEvent> event;
        for (auto& action : actions) {
            event = co_await perform(std::move(action));
        }
        if (!event) {
            break;
        }
        auto chosen = chooseEvent(std::move(*event));
        if (auto* failed = std::get_if<AttemptFailed>(&chosen)) {
            if (m_machine.suggestsDeath(*failed)) {
                co_await checkServer(*failed);
            }
            logFailedAttempt(*failed);
        }
        actions = m_machine.handle(chosen);
    }
    m_watch.reset();
    conclude();
}

Duration RequestRunner::deathCheckBound() const
{
    // Delays the next attempt where the server's machine is silent.
    constexpr Duration longest = std::chrono::milliseconds(400);
    return std::min(longest, m_services.settings.connectTimeout);
}

asio::awaitable<void> RequestRunner::checkServer(AttemptFailed& failed)
{
    m_wait = Wait::ServerCheck;
    auto reach = co_await m_services.connector.check(m_grant->address, deathCheckBound());
    m_wait = Wait::Nothing;
    failed.serverAccepts = reach == Reach::Direct;
    failed.cutOff = reach == Reach::ThroughPeer || reach == Reach::Unknown;
}

RequestRunner::Next RequestRunner::perform(RequestAction action)
{
    auto nothing = []() -> Next { co_return std::nullopt; };
    return std::visit(Overload {
                          [&](DoAuthenticate) { return authenticate(); },
                          [&](DoReadBody) { return readBody(); },
                          [&](AskForGrant& it) { return askForGrant(std::move(it)); },
                          [&](OpenConnection it) { return openConnection(it); },
                          [&](SendRequest) { return sendRequest(); },
                          [&](AwaitAnswer) { return awaitAnswer(); },
                          [&](RelayAnswer) { return relayAnswer(); },
                          [&](ReleaseGrant it) {
                              releaseGrant(it.outcome);
                              return nothing();
                          },
                          [&](FinishAnswer) { return finishAnswer(); },
                          [&](Refuse it) { return refuse(it); },
                          [&](CutAnswer it) { return cut(it); },
                          [&](DropCaller it) {
                              m_exchange.closeAfter();
                              m_code = toString(it.code);
                              m_run = it.run;
                              return nothing();
                          },
                          [&](ReportUnexpectedEvent it) {
                              logUnexpectedEvent(it);
                              return nothing();
                          },
                      },
        action);
}

Duration RequestRunner::remaining() const
{
    if (m_machine.callerReached()) {
        return m_services.settings.grantTimeout;
    }
    return std::max(Duration(0), m_request.deadline - (readMonotonicClock() - m_arrival));
}

RequestRunner::Next RequestRunner::authenticate()
{
    if (m_exchange.request().version() != 11) {
        co_return Stopped { CallerError::HttpVersionNotSupported };
    }
    // The host may select the route, so it must be there and must not be ambiguous.
    if (m_exchange.request().count(http::field::host) != 1) {
        m_exchange.closeAfter();
        co_return Stopped { CallerError::MalformedRequest };
    }
    if (!m_snapshot) {
        co_return Stopped { CallerError::NotReady };
    }
    auto admitted = m_services.dialect.admitHead(*m_snapshot, copyHead(m_exchange));
    if (!admitted) {
        co_return Stopped { admitted.error() };
    }
    if (admitted->team && !m_services.admitsKeys) {
        co_return Stopped { CallerError::NotReady };
    }
    m_request = std::move(*admitted);
    m_exchange.setOwner(m_request.keyDigest.value());
    m_series = &m_services.metrics.seriesOf(m_request.classSpec->name, team());
    co_return Authenticated {};
}

RequestRunner::Next RequestRunner::readBody()
{
    m_wait = Wait::Caller;
    auto body = co_await m_exchange.readBody();
    m_wait = Wait::Nothing;
    if (!body) {
        auto error = errorOf(body.error().code);
        co_return Stopped { error, error == CallerError::Overloaded ? m_exchange.timeToRoom() : Duration(0) };
    }
    if (auto checked = m_services.dialect.admitBody(*m_snapshot, m_request, *body); !checked) {
        co_return Stopped { checked.error() };
    }
    if (m_request.kind == RouteKind::Models) {
        co_await respondModels();
        co_return std::nullopt;
    }
    m_body = std::move(*body);
    m_domain = DomainId(fmt::format("{}/{}", m_services.settings.region.value(), m_request.targetName.value()));
    m_fingerprint = fingerprintOf(team(), m_request.target, m_body);
    startDeadline();
    watchCaller();
    if (m_request.takesUpStream) {
        if (auto error = co_await bindTakenUpStream()) {
            co_return Stopped { *error };
        }
    }
    bool isModel = m_request.kind != RouteKind::Service;
    co_return BodyRead { m_request.idempotent, m_request.resumable, &m_services.budgets[m_domain],
        m_request.maxAttempts, isModel };
}

asio::awaitable<void> RequestRunner::respondModels()
{
    namespace json = boost::json;
    json::array models;
    for (const auto& [name, deployment] : m_snapshot->configuration().deployments) {
        models.push_back(json::object { { "id", name.value() }, { "object", "model" } });
    }
    auto body = json::serialize(json::object { { "object", "list" }, { "data", std::move(models) } });
    m_concluding = true;
    m_run = RunStatus::NotRun;
    co_await m_exchange.respond(http::status::ok, "application/json", std::move(body));
}

PlaceRequest RequestRunner::makePlaceRequest(const AskForGrant& action) const
{
    PlaceRequest place;
    place.request = m_id;
    place.domain = m_domain;
    place.team = team();
    place.className = m_request.classSpec->name;
    place.tier = m_request.tier;
    place.promptTokens = m_request.promptTokens;
    place.outputLimit = m_request.outputLimit;
    place.prefix = m_request.prefix;
    place.prefixTokens = m_request.prefixTokens;
    place.parts = m_request.parts;
    place.idempotent = m_request.idempotent;
    place.fingerprint = m_fingerprint;
    place.remaining = remaining();
    place.waited = readMonotonicClock() - m_arrival;
    place.attempt = action.attempt;
    place.excluded = action.excluded;
    place.softwareVersion = m_streamVersion;
    return place;
}

RequestRunner::Next RequestRunner::askForGrant(AskForGrant action)
{
    if (m_interrupt) {
        co_return PlacementRefused { RefusalCode::Overloaded };
    }
    if (!endsBeforeShutdown()) {
        co_return Stopped { CallerError::ShuttingDown };
    }
    auto asked = readMonotonicClock();
    auto place = makePlaceRequest(action);
    auto bound = std::min(place.remaining, m_services.settings.grantTimeout);
    m_wait = Wait::Grant;
    auto result = co_await m_services.placement.place(std::move(place), bound);
    m_wait = Wait::Nothing;
    m_queueTime += readMonotonicClock() - asked;
    if (const auto* refusal = std::get_if<Refusal>(&result)) {
        co_return PlacementRefused { refusal->code, refusal->retryAfter };
    }
    m_grant = std::get<Grant>(result);
    m_grantedAt = readMonotonicClock();
    m_sendsOnGrant = 0;
    m_server = m_grant->server;
    m_serverVersion = m_grant->softwareVersion;
    bool mayBeSent = co_await noteStreamGrant();
    if (!mayBeSent) {
        releaseGrant(FinishOutcome::Aborted);
        co_return PlacementRefused { RefusalCode::Overloaded };
    }
    co_return Granted { m_server };
}

RequestRunner::Next RequestRunner::openConnection(OpenConnection action)
{
    m_attemptStart = readMonotonicClock();
    m_limitSeen = false;
    m_limit.reset();
    m_rejectionLimit.reset();
    auto& connector = m_services.connector;
    m_connection
        = action.fresh ? nullptr : m_services.pool.take(m_grant->address, connector.isCutOff(m_grant->address));
    if (m_connection) {
        m_connection->startRequest();
        m_throughPeer = m_connection->isTunnelled();
        co_return Connected { true };
    }
    m_connection = std::make_unique<BackendConnection>(m_exchange.socket().get_executor(), m_grant->address);
    m_connection->startRequest();
    m_wait = Wait::Backend;
    auto reach = co_await connector.connect(*m_connection, m_services.settings.connectTimeout);
    m_wait = Wait::Nothing;
    m_throughPeer = m_connection->isTunnelled();
    if (reach == Reach::Nobody || reach == Reach::Unknown) {
        co_return AttemptFailed { AttemptFailure::Unreachable, false, false, reach == Reach::Unknown };
    }
    co_return Connected {};
}

RequestRunner::Next RequestRunner::sendRequest()
{
    auto lastEventId = m_relay.lastEventId();
    BackendHead head { m_grant->address, backendId(), m_request.tier, {} };
    head.bodyBytes = m_body.size();
    head.remaining = remaining();
    head.server = m_grant->server.value();
    if (m_machine.callerReached()) {
        head.resumeAfter = m_relay.tokens().output();
        head.lastEventId = lastEventId;
    }
    auto text = m_services.dialect.formatBackendHead(m_request, head);
    std::size_t written = 0;
    m_wait = Wait::Backend;
    auto ec = co_await m_connection->send(text, m_body, written, m_services.settings.writeTimeout);
    m_wait = Wait::Nothing;
    if (ec) {
        co_return AttemptFailed { failureOf(ec), written > 0 };
    }
    m_firstByteReported = false;
    m_sent = readMonotonicClock();
    ++m_sendsOnGrant;
    m_services.placement.report(makeProgress());
    co_return RequestSent {};
}

} // namespace lagoonspoke
