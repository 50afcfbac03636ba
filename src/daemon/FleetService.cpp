#include "daemon/FleetService.h"

#include <algorithm>

#include "external/OrderLogCodec.h"
#include "http/Endpoint.h"
#include "lagoonspoke/core/Overload.h"
#include "observe/LogLine.h"

namespace lagoonspoke {

namespace {

std::string orderLogKey(const DataCentreId& dataCentre)
{
    return "fleet/orders/" + dataCentre.value();
}

bool isLoad(const FleetOrderBody& body)
{
    return std::holds_alternative<LoadModel>(body) || std::holds_alternative<LoadAdapter>(body);
}

// The server that an order to a model engine is for, or nothing for orders to the backend server interface.
std::optional<BackendServerId> engineOf(const FleetOrderBody& body)
{
    return std::visit(Overload {
                          [](const StartServer&) { return std::optional<BackendServerId>(); },
                          [](const StopServer&) { return std::optional<BackendServerId>(); },
                          [](const auto& it) { return std::optional(it.server); },
                      },
        body);
}

OrderAnswered::Outcome outcomeOf(const Outcome<void>& outcome)
{
    if (outcome) {
        return OrderAnswered::Outcome::Done;
    }
    bool refused = outcome.error().code == ErrorCode::InvalidArgument;
    return refused ? OrderAnswered::Outcome::Refused : OrderAnswered::Outcome::Unknown;
}

} // namespace

FleetService::FleetService(
    asio::io_context& io, Options options, ObjectStorePtr store, tcp::endpoint fleetInterface, MayAct mayAct)
    : m_io(io)
    , m_options(std::move(options))
    , m_store(std::move(store))
    , m_mayAct(std::move(mayAct))
{
    for (const auto& dataCentre : m_options.dataCentres) {
        auto holds = [this, dataCentre](FencingToken token) { return m_mayAct(dataCentre) == token; };
        m_sites.emplace(dataCentre,
            std::make_unique<Site>(Site { OrderLog::Make({ dataCentre.value(), std::chrono::seconds(1) }),
                FleetClient(fleetInterface, m_options.sender, m_options.orderBound, holds),
                LoadPacer(m_options.loadInterval), {}, {} }));
    }
}

FleetService::~FleetService() = default;

void FleetService::start()
{
    asio::co_spawn(m_io, run(), asio::detached);
}

asio::awaitable<void> FleetService::run()
{
    asio::steady_timer timer(m_io);
    for (;;) {
        timer.expires_after(m_options.adjustInterval);
        co_await timer.async_wait(useTuple);
        adjustAll();
        for (auto& [dataCentre, site] : m_sites) {
            if (auto load = site->log.isReady() ? site->pacer.take(readMonotonicClock()) : std::nullopt) {
                drive(dataCentre, OrderWanted { std::move(*load) });
            }
            execute(dataCentre, site->log.advance(readMonotonicClock()));
        }
    }
}

void FleetService::applyLease(const DataCentreId& dataCentre, std::optional<FencingToken> token)
{
    auto it = m_sites.find(dataCentre);
    if (it == m_sites.end()) {
        return;
    }
    it->second->client.closeConnections();
    it->second->adjusters.clear();
    it->second->arriving.clear();
    drive(dataCentre, OrderLeaseChanged { token });
}

void FleetService::noteArrivals(const std::vector<BackendServer>& servers)
{
    auto isKnown = [&](const BackendServer& server) {
        return std::any_of(
            m_servers.begin(), m_servers.end(), [&](const BackendServer& it) { return it.id == server.id; });
    };
    for (const auto& server : servers) {
        auto site = m_sites.find(server.dataCentre);
        if (site == m_sites.end() || isKnown(server)) {
            continue;
        }
        auto& arriving = site->second->arriving;
        StartServer order { server.target, server.cheap };
        auto it
            = std::find_if(arriving.begin(), arriving.end(), [&](const Arriving& one) { return one.order == order; });
        if (it != arriving.end()) {
            arriving.erase(it);
        }
    }
}

void FleetService::applyServers(std::vector<BackendServer> servers)
{
    noteArrivals(servers);
    for (const auto& server : servers) {
        auto target = m_targets.find(server.target);
        if (server.leaving && server.cheap && target != m_targets.end()) {
            target->second.planner.noteSpotMissing(server.dataCentre, readMonotonicClock());
        }
    }
    m_servers = std::move(servers);
}

void FleetService::applyDemand(const TargetName& name, const FleetDemand& demand)
{
    auto it = m_targets.find(name);
    if (it == m_targets.end()) {
        FleetPlanner::Options options;
        options.dataCentres = m_options.dataCentres;
        it = m_targets.emplace(name, Target { demand, FleetPlanner::Make(std::move(options)) }).first;
    }
    it->second.demand = demand;
}

void FleetService::order(const DataCentreId& dataCentre, FleetOrderBody body)
{
    auto& site = *m_sites.at(dataCentre);
    if (isLoad(body)) {
        site.pacer.add(std::move(body));
    } else {
        drive(dataCentre, OrderWanted { std::move(body) });
    }
}

void FleetService::adjustAll()
{
    for (auto& [name, target] : m_targets) {
        auto plan = target.planner.plan(target.demand, readMonotonicClock());
        for (auto& [dataCentre, site] : m_sites) {
            if (site->log.isReady()) {
                adjustSite(dataCentre, *site, name, plan[dataCentre]);
            }
        }
    }
    publishDraining();
}

void FleetService::adjustSite(
    const DataCentreId& dataCentre, Site& site, const TargetName& target, const FleetCounts& counts)
{
    auto now = readMonotonicClock();
    FleetAdjuster::State state;
    for (const auto& server : m_servers) {
        if (server.dataCentre == dataCentre && server.target == target) {
            state.servers.push_back(server);
        }
    }
    state.busy = m_busy;
    state.pending = site.log.pending();
    std::erase_if(site.arriving, [&](const Arriving& it) { return it.until <= now; });
    for (const auto& it : site.arriving) {
        state.pending.emplace_back(it.order);
    }
    auto& adjuster = site.adjusters.try_emplace(target, FleetAdjuster::Make({})).first->second;
    for (auto& body : adjuster.adjust(target, counts, state, now)) {
        drive(dataCentre, OrderWanted { std::move(body) });
    }
}

void FleetService::publishDraining()
{
    std::set<BackendServerId> draining;
    for (const auto& [dataCentre, site] : m_sites) {
        for (const auto& [target, adjuster] : site->adjusters) {
            for (const auto& [server, since] : adjuster.draining()) {
                draining.insert(server);
            }
        }
    }
    if (draining != m_published && m_drainingChanged) {
        m_drainingChanged(draining);
    }
    m_published = std::move(draining);
}

void FleetService::drive(const DataCentreId& dataCentre, const OrderLogEvent& event)
{
    execute(dataCentre, m_sites.at(dataCentre)->log.handle(event, readMonotonicClock()));
}

void FleetService::execute(const DataCentreId& dataCentre, std::vector<OrderLogAction> actions)
{
    for (auto& action : actions) {
        std::visit(
            Overload {
                [&](const ReadOrderLog& it) { asio::co_spawn(m_io, read(dataCentre, it), asio::detached); },
                [&](WriteOrderLog& it) { asio::co_spawn(m_io, write(dataCentre, std::move(it)), asio::detached); },
                [&](SendOrder& it) { asio::co_spawn(m_io, send(dataCentre, std::move(it)), asio::detached); },
                [&](const OrderFinished& it) { finish(dataCentre, it); },
            },
            action);
    }
}

void FleetService::finish(const DataCentreId& dataCentre, const OrderFinished& finished)
{
    auto now = readMonotonicClock();
    auto& site = *m_sites.at(dataCentre);
    LogLine(LogLevel::Info, "order_finished").add("order", finished.order.id).add("done", finished.done);
    if (const auto* start = std::get_if<StartServer>(&finished.order.body)) {
        auto target = m_targets.find(start->target);
        if (finished.done) {
            site.arriving.push_back({ *start, now + m_options.arrivalBound });
        } else if (start->spot && target != m_targets.end()) {
            target->second.planner.noteSpotMissing(dataCentre, now);
        }
    } else if (isLoad(finished.order.body) && finished.done) {
        site.pacer.noteServed();
    }
}

asio::awaitable<void> FleetService::read(DataCentreId dataCentre, ReadOrderLog call)
{
    auto object = co_await m_store->get(orderLogKey(dataCentre));
    if (!object && object.error().code == ErrorCode::NotFound) {
        drive(dataCentre, OrderLogRead { call.call, {}, {} });
        co_return;
    }
    auto record = object ? decodeOrderLog(object->value) : tl::make_unexpected(object.error());
    if (!record) {
        LogLine(LogLevel::Warning, "order_log_unread").add("error", record.error().message);
        drive(dataCentre, OrderLogFailed { call.call });
        co_return;
    }
    drive(dataCentre, OrderLogRead { call.call, std::move(*record), object->version });
}

asio::awaitable<void> FleetService::write(DataCentreId dataCentre, WriteOrderLog call)
{
    auto version = co_await m_store->write(orderLogKey(dataCentre), encodeOrderLog(call.record), call.version);
    if (version) {
        drive(dataCentre, OrderLogWritten { call.call, *version });
    } else {
        drive(dataCentre, OrderLogFailed { call.call });
    }
}

asio::awaitable<Outcome<void>> FleetService::deliver(DataCentreId dataCentre, SendOrder send)
{
    auto& client = m_sites.at(dataCentre)->client;
    auto engine = engineOf(send.order.body);
    if (!engine) {
        co_return co_await client.sendToInterface(dataCentre, send.order, send.token);
    }
    auto it = std::find_if(
        m_servers.begin(), m_servers.end(), [&](const BackendServer& server) { return server.id == *engine; });
    if (it == m_servers.end()) {
        co_return makeError(ErrorCode::InvalidArgument, "the backend server is gone");
    }
    auto endpoint = parseEndpoint(it->address);
    if (!endpoint) {
        co_return makeError(ErrorCode::InvalidArgument, endpoint.error().message);
    }
    co_return co_await client.sendToEngine(*endpoint, send.order, send.token);
}

asio::awaitable<void> FleetService::send(DataCentreId dataCentre, SendOrder order)
{
    auto outcome = co_await deliver(dataCentre, order);
    if (!outcome) {
        LogLine(LogLevel::Warning, "order_failed").add("order", order.order.id).add("error", outcome.error().message);
        if (isLoad(order.order.body) && outcome.error().code == ErrorCode::Unavailable) {
            m_sites.at(dataCentre)->pacer.noteRefused();
        }
    }
    drive(dataCentre, OrderAnswered { order.order.id, outcomeOf(outcome) });
}

} // namespace lagoonspoke
