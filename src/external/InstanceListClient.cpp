#include "external/InstanceListClient.h"

#include <fmt/format.h>

#include "config/StaticFile.h"
#include "settings/JsonReader.h"

namespace lagoonspoke {

Outcome<InstanceList> parseInstanceList(std::string_view text)
{
    auto value = parseJson(text);
    if (!value) {
        return makeError(ErrorCode::ProtocolViolation, value.error().message);
    }
    std::vector<Error> errors;
    InstanceList list;
    JsonReader reader(*value, "", errors);
    for (auto& it : reader.readObjects("instances")) {
        Member member;
        member.id = InstanceId(it.readString("id"));
        member.dataCentre = DataCentreId(it.readString("data_centre"));
        member.region = RegionId(it.readString("region"));
        member.peerAddress = it.readString("peer_address");
        member.state = it.readBool("leaving", false) ? MemberState::Leaving : MemberState::Alive;
        list.instances.push_back(std::move(member));
    }
    for (auto& it : reader.readObjects("servers")) {
        list.servers.push_back(readBackendServer(it));
    }
    if (!errors.empty()) {
        return makeError(ErrorCode::ProtocolViolation, formatErrors(errors));
    }
    return list;
}

InstanceListClient::InstanceListClient(tcp::endpoint endpoint, Duration bound)
    : m_endpoint(std::move(endpoint))
    , m_bound(bound)
{
}

asio::awaitable<Outcome<InstanceList>> InstanceListClient::fetch() const
{
    HttpCall call;
    call.target = "/v1/instances";
    auto reply = co_await callHttp(m_endpoint, std::move(call), m_bound);
    if (!reply) {
        co_return tl::make_unexpected(reply.error());
    }
    if (reply->status != 200) {
        co_return makeError(
            ErrorCode::Unavailable, fmt::format("the instance list replied with status {}", reply->status));
    }
    co_return parseInstanceList(reply->body);
}

} // namespace lagoonspoke
