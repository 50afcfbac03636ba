#include "entry/CallerDialect.h"

#include <cmath>

#include <fmt/format.h>

#include "lagoonspoke/core/Text.h"

namespace lagoonspoke {

namespace {

// A server that names a longer time by mistake is tried again after this one.
constexpr Duration longestPause = std::chrono::minutes(1);

std::optional<RequestRate> readRate(
    const http::response_header<>& head, std::string_view headerName, BackendAnswer& answer)
{
    std::optional<RequestRate> lowest;
    auto [it, end] = head.equal_range(beast::string_view(headerName.data(), headerName.size()));
    for (; it != end; ++it) {
        auto rate = parseNumber<double>(std::string_view(it->value().data(), it->value().size()));
        if (!rate || !std::isfinite(*rate) || *rate < 0) {
            answer.hasInvalidLimit = true;
        } else if (!lowest || *rate < lowest->perSecond) {
            lowest = RequestRate { *rate };
        }
    }
    return lowest;
}

} // namespace

tl::expected<AdmittedRequest, CallerError> OwnDialect::admitHead(
    const ConfigurationSnapshot& snapshot, const CallerHead& head) const
{
    return lagoonspoke::admitHead(snapshot, head);
}

tl::expected<void, CallerError> OwnDialect::admitBody(
    const ConfigurationSnapshot& snapshot, AdmittedRequest& request, std::string_view body) const
{
    return lagoonspoke::admitBody(snapshot, request, body);
}

std::string OwnDialect::formatBackendHead(const AdmittedRequest& request, const BackendHead& head) const
{
    return lagoonspoke::formatBackendHead(request, head);
}

void readLimits(const http::response_header<>& head, std::string_view requestLimitName,
    std::string_view rejectionLimitName, BackendAnswer& answer)
{
    answer.limit = readRate(head, requestLimitName, answer);
    answer.rejectionLimit = readRate(head, rejectionLimitName, answer);
}

void readServerPause(const http::response_header<>& head, std::string_view headerName, BackendAnswer& answer)
{
    auto text = head[beast::string_view(headerName.data(), headerName.size())];
    if (text.empty()) {
        return;
    }
    auto seconds = parseNumber<double>(std::string_view(text.data(), text.size()));
    if (!seconds || !std::isfinite(*seconds) || *seconds < 0) {
        answer.hasInvalidPause = true;
        return;
    }
    auto longest = toSeconds(longestPause);
    answer.hasInvalidPause = *seconds > longest;
    answer.signal.emplace(answer.signal.value_or(ServerSignal())).pause = fromSeconds(std::min(*seconds, longest));
}

BackendAnswer OwnDialect::readAnswer(const http::response_header<>& head) const
{
    BackendAnswer answer;
    if (head.count("x-request-id") == 1) {
        auto id = head["x-request-id"];
        answer.requestId.assign(id.data(), id.size());
    }
    answer.usable = !answer.requestId.empty();
    readLimits(head, "x-request-limit", "x-rejection-limit", answer);
    answer.headers.emplace_back("x-request-id", answer.requestId);
    answer.headers.emplace_back("x-lagoonspoke-run", toString(RunStatus::Ran));
    for (auto& header : copyHeaders(head)) {
        if (isForwardedToCaller(header.first)) {
            answer.headers.push_back(std::move(header));
        }
    }
    return answer;
}

CallerErrorAnswer OwnDialect::formatError(const CallerErrorReport& report) const
{
    CallerErrorAnswer answer;
    answer.status = http::int_to_status(httpStatusOf(report.error));
    answer.contentType = "application/json";
    answer.body = formatErrorBody(report.error, report.run);
    answer.headers.emplace_back("x-request-id", report.requestId);
    answer.headers.emplace_back("x-lagoonspoke-run", toString(report.run));
    if (report.retryAfter > Duration(0)) {
        auto seconds = std::chrono::ceil<std::chrono::seconds>(report.retryAfter);
        answer.headers.emplace_back("retry-after", fmt::format("{}", seconds.count()));
    }
    return answer;
}

} // namespace lagoonspoke
