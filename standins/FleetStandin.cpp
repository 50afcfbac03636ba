#include "standins/FleetStandin.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include "settings/JsonReader.h"
#include "standins/Query.h"

namespace lagoonspoke {

namespace json = boost::json;

namespace {

constexpr auto most = std::numeric_limits<std::int64_t>::max();

asio::awaitable<void> respondEmpty(HttpExchange& exchange, http::status status)
{
    co_await exchange.respond(status, "text/plain", "");
}

} // namespace

asio::awaitable<void> FleetStandin::handle(HttpExchange& exchange)
{
    static constexpr std::string_view prefix = "/v1/data-centres/";
    static constexpr std::string_view suffix = "/orders";
    std::string path(targetPath(exchange.target()));
    if (path == "/faults") {
        co_await handleFaults(exchange);
    } else if (path == "/stats") {
        co_await handleStats(exchange);
    } else if (m_faults.down) {
        exchange.closeAfter();
        co_await respondEmpty(exchange, http::status::service_unavailable);
    } else if (path == "/v1/servers") {
        co_await handleServers(exchange);
    } else if (path == "/v1/evict") {
        co_await handleEviction(exchange);
    } else if (path.starts_with(prefix) && path.ends_with(suffix) && path.size() > prefix.size() + suffix.size()) {
        auto length = path.size() - prefix.size() - suffix.size();
        co_await handleOrder(exchange, path.substr(prefix.size(), length));
    } else {
        co_await respondEmpty(exchange, http::status::not_found);
    }
}

asio::awaitable<void> FleetStandin::handleOrder(HttpExchange& exchange, std::string dataCentre)
{
    auto body = co_await exchange.readBody();
    auto value = parseJson(body ? *body : std::string());
    std::vector<Error> errors;
    Order order;
    order.dataCentre = std::move(dataCentre);
    if (value) {
        JsonReader reader(*value, "", errors);
        order.id = reader.readString("order_id");
        order.token = reader.readInteger("fencing_token", 0, most);
        order.sender = reader.readString("sender", "");
        order.action = reader.readString("action");
        order.target = reader.readString("target", "");
        order.server = reader.readString("server", "");
        order.spot = reader.readBool("spot", false);
    }
    if (!value || !errors.empty()) {
        co_await exchange.respond(http::status::bad_request, "text/plain", formatErrors(errors));
        co_return;
    }
    auto status = carryOut(order);
    order.status = status;
    m_orders.push_back(std::move(order));
    if (m_faults.loseResponses > 0) {
        --m_faults.loseResponses;
        exchange.closeAfter();
        co_return;
    }
    co_await respondEmpty(exchange, status);
}

http::status FleetStandin::carryOut(Order& order)
{
    auto& highest = m_highestToken[order.dataCentre];
    bool stale = order.token < highest;
    highest = std::max(highest, order.token);
    m_staleTokens += stale ? 1 : 0;
    if (stale && !m_faults.ignoreTokens) {
        return http::status::conflict;
    }
    if (auto it = m_answers.find(order.id); it != m_answers.end()) {
        order.repeated = true;
        return it->second;
    }
    auto status = apply(order);
    m_answers.emplace(order.id, status);
    return status;
}

http::status FleetStandin::apply(const Order& order)
{
    if (order.action == "start") {
        if (order.spot && m_faults.noSpot) {
            return http::status::unprocessable_entity;
        }
        auto id = fmt::format("{}-s{}", order.dataCentre, ++m_lastServer);
        m_servers.emplace(std::move(id), Server { order.dataCentre, order.target, order.spot });
        return http::status::ok;
    }
    if (order.action == "stop") {
        m_servers.erase(order.server);
        return http::status::ok;
    }
    return http::status::unprocessable_entity;
}

asio::awaitable<void> FleetStandin::handleEviction(HttpExchange& exchange)
{
    auto body = co_await exchange.readBody();
    auto value = parseJson(body ? *body : std::string());
    std::vector<Error> errors;
    std::string dataCentre;
    if (value) {
        dataCentre = JsonReader(*value, "", errors).readString("data_centre");
        std::erase_if(m_servers, [&](const auto& it) { return it.second.spot && it.second.dataCentre == dataCentre; });
    }
    co_await respondEmpty(exchange, value && errors.empty() ? http::status::ok : http::status::bad_request);
}

asio::awaitable<void> FleetStandin::handleFaults(HttpExchange& exchange)
{
    auto body = co_await exchange.readBody();
    auto value = parseJson(body ? *body : std::string());
    std::vector<Error> errors;
    if (value) {
        JsonReader reader(*value, "", errors);
        m_faults.down = reader.readBool("down", m_faults.down);
        m_faults.ignoreTokens = reader.readBool("ignore_tokens", m_faults.ignoreTokens);
        m_faults.noSpot = reader.readBool("no_spot", m_faults.noSpot);
        m_faults.loseResponses = reader.readInteger("lose_responses", 0, most, m_faults.loseResponses);
    }
    co_await respondEmpty(exchange, value && errors.empty() ? http::status::ok : http::status::bad_request);
}

asio::awaitable<void> FleetStandin::handleServers(HttpExchange& exchange)
{
    json::array servers;
    for (const auto& [id, server] : m_servers) {
        servers.push_back(json::object {
            { "id", id }, { "data_centre", server.dataCentre }, { "target", server.target }, { "spot", server.spot } });
    }
    auto body = json::serialize(json::object { { "servers", std::move(servers) } });
    co_await exchange.respond(http::status::ok, "application/json", std::move(body));
}

asio::awaitable<void> FleetStandin::handleStats(HttpExchange& exchange)
{
    json::array orders;
    for (const auto& it : m_orders) {
        orders.push_back(
            json::object { { "data_centre", it.dataCentre }, { "order_id", it.id }, { "fencing_token", it.token },
                { "sender", it.sender }, { "action", it.action }, { "target", it.target }, { "server", it.server },
                { "spot", it.spot }, { "status", static_cast<int>(it.status) }, { "repeated", it.repeated } });
    }
    auto body = json::serialize(json::object {
        { "orders", std::move(orders) }, { "servers", m_servers.size() }, { "stale_tokens", m_staleTokens } });
    co_await exchange.respond(http::status::ok, "application/json", std::move(body));
}

} // namespace lagoonspoke
