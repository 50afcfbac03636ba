#include "external/OrderLogCodec.h"

#include <boost/json.hpp>

#include "lagoonspoke/core/Overload.h"
#include "settings/JsonReader.h"

namespace lagoonspoke {

namespace {

namespace json = boost::json;

json::object encodeBody(const FleetOrderBody& body)
{
    return std::visit(
        Overload {
            [](const StartServer& it) {
                return json::object { { "action", "start" }, { "target", it.target.value() }, { "spot", it.spot } };
            },
            [](const StopServer& it) {
                return json::object { { "action", "stop" }, { "server", it.server.value() } };
            },
            [](const LoadModel& it) {
                return json::object { { "action", "load_model" }, { "server", it.server.value() },
                    { "target", it.model.value() }, { "version", it.version } };
            },
            [](const LoadAdapter& it) {
                return json::object { { "action", "load_adapter" }, { "server", it.server.value() },
                    { "adapter", it.adapter } };
            },
            [](const ChangeRole& it) {
                return json::object { { "action", "change_role" }, { "server", it.server.value() },
                    { "role", it.role } };
            },
        },
        body);
}

FleetOrderBody readBody(JsonReader& reader)
{
    auto action = reader.readString("action");
    if (action == "start") {
        return StartServer { TargetName(reader.readString("target")), reader.readBool("spot", false) };
    }
    BackendServerId server(reader.readString("server"));
    if (action == "stop") {
        return StopServer { std::move(server) };
    }
    if (action == "load_model") {
        TargetName model(reader.readString("target"));
        return LoadModel { std::move(server), std::move(model), reader.readString("version") };
    }
    if (action == "load_adapter") {
        return LoadAdapter { std::move(server), reader.readString("adapter") };
    }
    if (action != "change_role") {
        reader.report("action", "is not known");
    }
    return ChangeRole { std::move(server), reader.readString("role") };
}

} // namespace

std::string encodeOrderLog(const OrderLogRecord& record)
{
    json::array open;
    for (const auto& order : record.open) {
        auto body = encodeBody(order.body);
        body["id"] = order.id;
        open.push_back(std::move(body));
    }
    return json::serialize(json::object { { "last", record.lastNumber }, { "open", std::move(open) } });
}

Outcome<OrderLogRecord> decodeOrderLog(std::string_view text)
{
    auto value = parseJson(text);
    if (!value) {
        return makeError(ErrorCode::ProtocolViolation, value.error().message);
    }
    std::vector<Error> errors;
    JsonReader reader(*value, "", errors);
    OrderLogRecord record;
    record.lastNumber
        = static_cast<std::uint64_t>(reader.readInteger("last", 0, std::numeric_limits<std::int64_t>::max()));
    for (auto& it : reader.readObjects("open")) {
        auto id = it.readString("id");
        record.open.push_back({ std::move(id), readBody(it) });
    }
    if (!errors.empty()) {
        return makeError(ErrorCode::ProtocolViolation, formatErrors(errors));
    }
    return record;
}

} // namespace lagoonspoke
