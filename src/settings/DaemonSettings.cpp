#include "settings/DaemonSettings.h"

#include <algorithm>

#include <boost/asio/ip/address.hpp>

#include "lagoonspoke/core/Text.h"
#include "settings/DuplicateFields.h"
#include "settings/JsonReader.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

bool isAddress(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    boost::system::error_code ec;
    boost::asio::ip::make_address(text.substr(0, colon), ec);
    return !ec && parseNumber<std::uint16_t>(text.substr(colon + 1));
}

std::string readAddress(JsonReader& reader, std::string_view field, std::optional<std::string> fallback = {})
{
    auto text = reader.readString(field, fallback);
    if (reader.has(field) && !isAddress(text) && !reader.isReported(field)) {
        reader.report(field, "must be IP:port");
    }
    return text;
}

// Names appear in object-store keys, domains ("REGION/NAME") and log lines.
std::string readName(JsonReader& reader, std::string_view field)
{
    static constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    auto name = reader.readString(field);
    bool valid = !name.empty() && name.size() <= 64 && name.find_first_not_of(allowed) == std::string::npos;
    if (reader.has(field) && !valid && !reader.isReported(field)) {
        reader.report(field, "must have 1 to 64 letters, digits, dots, underscores and dashes");
    }
    return name;
}

void readTimeouts(JsonReader& reader, DaemonSettings& settings)
{
    auto read
        = [&](std::string_view field, Duration& value) { value = reader.readMilliseconds(field, 10ms, 1h, value); };
    read("idle_timeout_ms", settings.idleTimeout);
    read("read_timeout_ms", settings.readTimeout);
    read("write_timeout_ms", settings.writeTimeout);
    read("grant_timeout_ms", settings.grantTimeout);
    read("connect_timeout_ms", settings.connectTimeout);
    read("first_byte_timeout_ms", settings.firstByteTimeout);
    read("token_gap_timeout_ms", settings.tokenGapTimeout);
    settings.shutdownDelay = reader.readMilliseconds("shutdown_delay_ms", 0ms, 10min, settings.shutdownDelay);
    if (reader.has("shutdown_grace_s")) {
        settings.shutdownGrace = fromSeconds(reader.readNumber("shutdown_grace_s", 0.1, 3600));
    }
    settings.usageWindow = reader.readMilliseconds("usage_window_ms", 100ms, 1h, settings.usageWindow);
}

void readConventions(JsonReader& reader, DaemonSettings& settings)
{
    settings.acceptsUnframedAnswers = reader.readBool("accepts_unframed_answers", settings.acceptsUnframedAnswers);
    settings.finishesWithdrawnRequests
        = reader.readBool("finishes_withdrawn_requests", settings.finishesWithdrawnRequests);
    settings.countsUsageAtStart = reader.readBool("counts_usage_at_start", settings.countsUsageAtStart);
    settings.answersIdleTimeout = reader.readBool("answers_idle_timeout", settings.answersIdleTimeout);
    settings.leaseTerm = reader.readMilliseconds("lease_term_ms", 1s, 1min, settings.leaseTerm);
    settings.serverHeartbeat = reader.readMilliseconds("server_heartbeat_ms", 100ms, 1min, settings.serverHeartbeat);
    settings.capacityHeadroom = reader.readNumber("capacity_headroom", 1, 100, settings.capacityHeadroom);
    settings.pacesRecoveringServers = reader.readBool("paces_recovering_servers", settings.pacesRecoveringServers);
    settings.watchesEvacuations = reader.readBool("watches_evacuations", settings.watchesEvacuations);
    if (reader.has("cold_rate_factor")) {
        settings.coldRateFactor = reader.readNumber("cold_rate_factor", 0.1, 1000);
    }
    settings.coldRateSlack = reader.readNumber("cold_rate_slack", 0, 1e6, settings.coldRateSlack);
    settings.usageReportBound = reader.readMilliseconds("usage_report_bound_ms", 1s, 1h, settings.usageReportBound);
}

void readPlatform(JsonReader& reader, DaemonSettings& settings)
{
    settings.staticFile = reader.readString("static_file", "");
    settings.storeAddress = readAddress(reader, "store_address", "");
    settings.instanceListAddress = readAddress(reader, "instance_list_address", "");
    settings.usageAddress = readAddress(reader, "usage_address", "");
    settings.fleetAddress = readAddress(reader, "fleet_address", "");
    settings.weightStoreAddress = readAddress(reader, "weight_store_address", "");
    if (settings.staticFile.empty() && settings.storeAddress.empty()) {
        reader.report("store_address", "is missing; give it, or static_file for a single instance");
    }
    settings.instancesInStore = reader.readBool("instances_in_store", settings.instancesInStore);
    if (!settings.storeAddress.empty() && settings.instanceListAddress.empty() && !settings.instancesInStore) {
        reader.report("instance_list_address", "is missing; it is needed with store_address");
    }
}

std::string readDispatchPolicy(JsonReader& reader)
{
    static constexpr std::string_view names[] = { "lagoonspoke", "fifo", "round-robin", "power-of-two" };
    auto name = reader.readString("dispatch_policy", "lagoonspoke");
    if (!std::ranges::count(names, name)) {
        reader.report("dispatch_policy", "must be one of lagoonspoke, fifo, round-robin, power-of-two");
    }
    return name;
}

} // namespace

void copyLimits(const DaemonSettings& from, DaemonSettings& to)
{
    to.maxHeaderBytes = from.maxHeaderBytes;
    to.maxBodyBytes = from.maxBodyBytes;
    to.maxUnparsedBytes = from.maxUnparsedBytes;
    to.idleTimeout = from.idleTimeout;
    to.readTimeout = from.readTimeout;
    to.writeTimeout = from.writeTimeout;
    to.grantTimeout = from.grantTimeout;
    to.connectTimeout = from.connectTimeout;
    to.firstByteTimeout = from.firstByteTimeout;
    to.tokenGapTimeout = from.tokenGapTimeout;
}

tl::expected<DaemonSettings, std::vector<Error>> parseDaemonSettings(std::string_view text)
{
    std::vector<Error> errors;
    auto value = parseJson(text);
    if (!value) {
        errors.push_back(value.error());
        return tl::make_unexpected(errors);
    }
    errors = findDuplicateFields(text);
    DaemonSettings settings;
    JsonReader reader(*value, "", errors);
    settings.instance = InstanceId(readName(reader, "instance"));
    settings.dataCentre = DataCentreId(readName(reader, "data_centre"));
    settings.region = RegionId(readName(reader, "region"));
    settings.callerAddress = readAddress(reader, "caller_address");
    settings.adminAddress = readAddress(reader, "admin_address");
    settings.peerAddress = readAddress(reader, "peer_address", "127.0.0.1:0");
    for (auto& name : reader.readStrings("region_data_centres", std::vector<std::string>())) {
        settings.regionDataCentres.emplace_back(std::move(name));
    }
    settings.dispatchPolicy = readDispatchPolicy(reader);
    settings.trafficThreads = static_cast<int>(reader.readInteger("traffic_threads", 0, 64, settings.trafficThreads));
    settings.cores = reader.readNumber("cores", 0.01, 512, settings.cores);
    settings.maxHeaderBytes = reader.readInteger("max_header_bytes", 1024, 1 << 20, settings.maxHeaderBytes);
    settings.maxBodyBytes = reader.readInteger("max_body_bytes", 1024, 1 << 30, settings.maxBodyBytes);
    settings.maxConnections = reader.readInteger("max_connections", 1, 1 << 20, settings.maxConnections);
    settings.maxDescriptors = reader.readInteger("max_descriptors", 0, 1 << 30, settings.maxDescriptors);
    settings.maxUnparsedBytes = reader.readInteger("max_unparsed_bytes", 1024, 1 << 30, settings.maxUnparsedBytes);
    settings.maxHeldRequestBytes
        = reader.readInteger("max_held_request_bytes", 1 << 16, std::int64_t { 1 } << 40, settings.maxHeldRequestBytes);
    settings.bodyStallBound = reader.readMilliseconds("body_stall_ms", 10ms, 1h, settings.bodyStallBound);
    readTimeouts(reader, settings);
    readConventions(reader, settings);
    readPlatform(reader, settings);
    reader.rejectUnknownFields();
    if (!errors.empty()) {
        return tl::make_unexpected(errors);
    }
    return settings;
}

} // namespace lagoonspoke
