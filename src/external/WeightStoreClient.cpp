#include "external/WeightStoreClient.h"

#include <fmt/format.h>

#include "http/HttpTarget.h"

namespace lagoonspoke {

WeightStoreClient::WeightStoreClient(tcp::endpoint endpoint, Duration bound)
    : m_endpoint(std::move(endpoint))
    , m_bound(bound)
{
}

asio::awaitable<Outcome<std::size_t>> WeightStoreClient::fetch(TargetName model, std::string version) const
{
    HttpCall call;
    call.target
        = HttpTarget().addSegment("v1").addSegment("weights").addSegment(model.value()).addSegment(version).text();
    auto reply = co_await callHttp(m_endpoint, std::move(call), m_bound);
    if (!reply) {
        co_return tl::make_unexpected(reply.error());
    }
    if (reply->status == 429) {
        co_return makeError(ErrorCode::Unavailable, "the weight store is over its rate");
    }
    if (reply->status == 404) {
        co_return makeError(ErrorCode::NotFound, "the weight store does not have these weights");
    }
    if (reply->status != 200) {
        co_return makeError(
            ErrorCode::ProtocolViolation, fmt::format("the weight store replied with status {}", reply->status));
    }
    co_return reply->body.size();
}

} // namespace lagoonspoke
