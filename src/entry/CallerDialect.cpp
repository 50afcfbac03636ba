#include "entry/CallerDialect.h"

#include <fmt/format.h>

namespace lagoonspoke {

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

BackendAnswer OwnDialect::readAnswer(const http::response_header<>& head) const
{
    BackendAnswer answer;
    if (head.count("x-request-id") == 1) {
        auto id = head["x-request-id"];
        answer.requestId.assign(id.data(), id.size());
    }
    answer.usable = !answer.requestId.empty();
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
