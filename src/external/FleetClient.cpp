#include "external/FleetClient.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include "http/HttpTarget.h"
#include "lagoonspoke/core/Overload.h"

namespace lagoonspoke {

namespace {

using Request = http::request<http::string_body>;

Request makeRequest(const tcp::endpoint& endpoint, std::string target, std::string body)
{
    Request request;
    request.method(http::verb::post);
    request.target(target);
    request.version(11);
    request.set(http::field::host, endpoint.address().to_string());
    request.set(http::field::content_type, "application/json");
    request.keep_alive(false);
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

Outcome<void> judge(unsigned status)
{
    switch (status) {
    case 200:
        return {};
    case 409:
        return makeError(ErrorCode::Conflict, "the receiver has seen a higher fencing token");
    case 400:
    case 404:
    case 422:
        return makeError(ErrorCode::InvalidArgument, fmt::format("the order was refused with status {}", status));
    default:
        return makeError(ErrorCode::Unavailable, fmt::format("the order was answered with status {}", status));
    }
}

} // namespace

FleetClient::FleetClient(tcp::endpoint fleetInterface, std::string sender, Duration bound, MayAct mayAct)
    : m_interface(std::move(fleetInterface))
    , m_sender(std::move(sender))
    , m_bound(bound)
    , m_mayAct(std::move(mayAct))
{
}

std::string FleetClient::encode(const FleetOrder& order, FencingToken token) const
{
    boost::json::object body { { "order_id", order.id }, { "fencing_token", static_cast<std::uint64_t>(token) },
        { "sender", m_sender } };
    std::visit(Overload {
                   [&](const StartServer& it) {
                       body["action"] = "start";
                       body["target"] = it.target.value();
                       body["spot"] = it.spot;
                   },
                   [&](const StopServer& it) {
                       body["action"] = "stop";
                       body["server"] = it.server.value();
                   },
                   [&](const LoadModel& it) {
                       body["action"] = "load_model";
                       body["model"] = it.model.value();
                       body["version"] = it.version;
                   },
                   [&](const LoadAdapter& it) {
                       body["action"] = "load_adapter";
                       body["adapter"] = it.adapter;
                   },
                   [&](const ChangeRole& it) {
                       body["action"] = "change_role";
                       body["role"] = it.role;
                   },
               },
        order.body);
    return boost::json::serialize(body);
}

asio::awaitable<Outcome<void>> FleetClient::sendToInterface(
    DataCentreId dataCentre, FleetOrder order, FencingToken token)
{
    HttpTarget target;
    target.addSegment("v1").addSegment("data-centres").addSegment(dataCentre.value()).addSegment("orders");
    co_return co_await send(m_interface, target.text(), encode(order, token), token);
}

asio::awaitable<Outcome<void>> FleetClient::sendToEngine(tcp::endpoint engine, FleetOrder order, FencingToken token)
{
    co_return co_await send(std::move(engine), "/admin/orders", encode(order, token), token);
}

asio::awaitable<Outcome<void>> FleetClient::send(
    tcp::endpoint endpoint, std::string target, std::string body, FencingToken token)
{
    auto stream = std::make_shared<beast::tcp_stream>(co_await asio::this_coro::executor);
    struct Registration {
        std::set<std::shared_ptr<beast::tcp_stream>>& open;
        std::shared_ptr<beast::tcp_stream> stream;
        ~Registration() { open.erase(stream); }
    } registration { m_open, stream };
    m_open.insert(stream);
    stream->expires_after(m_bound);
    if (auto [ec] = co_await stream->async_connect(endpoint, useTuple); ec) {
        co_return makeError(ErrorCode::Unavailable, ec.message());
    }
    auto request = makeRequest(endpoint, std::move(target), std::move(body));
    // The lease may have ended while the connection was opened.
    if (!m_mayAct(token)) {
        co_return makeError(ErrorCode::Unavailable, "the lease does not last long enough");
    }
    if (auto [ec, n] = co_await http::async_write(*stream, request, useTuple); ec) {
        co_return makeError(ErrorCode::TimedOut, ec.message());
    }
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    if (auto [ec, n] = co_await http::async_read(*stream, buffer, response, useTuple); ec) {
        co_return makeError(ErrorCode::TimedOut, ec.message());
    }
    co_return judge(response.result_int());
}

void FleetClient::closeConnections()
{
    for (const auto& stream : m_open) {
        stream->close();
    }
}

} // namespace lagoonspoke
