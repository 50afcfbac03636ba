#include "entry/RequestAdmission.h"

#include <algorithm>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "entry/Prompt.h"
#include "http/HeaderField.h"
#include "http/HttpTarget.h"
#include "lagoonspoke/core/Digest.h"
#include "settings/JsonReader.h"

namespace lagoonspoke {

namespace json = boost::json;

namespace {

using Failure = tl::unexpected<CallerError>;

// Neither credentials nor hop-by-hop headers are listed, and accept-encoding is not, as compressed answers cannot be
// read for tokens.
constexpr std::string_view requestHeaders[] = { "accept", "accept-language", "content-language", "content-type",
    "idempotency-key", "if-match", "if-modified-since", "if-none-match", "if-unmodified-since", "range", "traceparent",
    "tracestate", "user-agent" };

constexpr std::string_view responseHeaders[]
    = { "accept-ranges", "allow", "cache-control", "content-disposition", "content-encoding", "content-language",
          "content-range", "date", "etag", "expires", "last-modified", "location", "retry-after", "vary" };

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, [](char a, char b) {
        auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
        return lower(a) == lower(b);
    });
}

bool contains(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

// Whether a path segment, possibly percent-encoded, is "." or "..".
bool isDotSegment(std::string_view segment)
{
    int dots = 0;
    while (!segment.empty()) {
        if (segment.front() == '.') {
            segment.remove_prefix(1);
        } else if (segment.size() >= 3 && equalsIgnoringCase(segment.substr(0, 3), "%2e")) {
            segment.remove_prefix(3);
        } else {
            return false;
        }
        ++dots;
    }
    return dots == 1 || dots == 2;
}

// A backend server may resolve dot segments and so leave the route's prefix; encoded slashes and backslashes can
// hide them.
bool isAcceptableTarget(std::string_view target)
{
    auto path = pathOf(target);
    if (!path.starts_with('/') || contains(path, "\\") || contains(path, "%2f") || contains(path, "%2F")
        || contains(path, "%5c") || contains(path, "%5C")) {
        return false;
    }
    while (!path.empty()) {
        path.remove_prefix(1);
        auto end = std::min(path.find('/'), path.size());
        if (isDotSegment(path.substr(0, end))) {
            return false;
        }
        path.remove_prefix(end);
    }
    return true;
}

} // namespace

std::string_view findKey(const CallerHead& head)
{
    static constexpr std::string_view scheme = "bearer ";
    auto isAuthorization = [](const auto& it) { return it.first == "authorization"; };
    if (std::ranges::count_if(head.headers, isAuthorization) != 1) {
        return {};
    }
    auto value = head.header("authorization");
    return equalsIgnoringCase(value.substr(0, scheme.size()), scheme) ? value.substr(scheme.size())
                                                                      : std::string_view();
}

bool revealsKey(const CallerHead& head, std::string_view key)
{
    return contains(head.target, key) || contains(decodePercent(head.target), key) || contains(head.method, key)
        || std::ranges::any_of(head.headers, [&](const auto& it) {
               return it.first != "authorization" && (contains(it.second, key) || contains(it.first, key));
           });
}

namespace {

HeaderList selectHeaders(const CallerHead& head)
{
    HeaderList selected;
    auto options = connectionOptionsOf(head.header("connection"));
    for (const auto& [name, value] : head.headers) {
        // A header that Connection names is hop-by-hop.
        if (std::ranges::count(requestHeaders, name) && !options.contains(name)) {
            selected.emplace_back(name, value);
        }
    }
    return selected;
}

const ClassSpec* chooseClass(
    const ConfigurationSnapshot& snapshot, const CallerHead& head, const TeamSpec* team, const ClassName& fallback)
{
    auto wanted = head.header("x-lagoonspoke-class");
    if (wanted.empty()) {
        return snapshot.findClass(fallback);
    }
    ClassName name { std::string(wanted) };
    return team && std::ranges::count(team->classes, name) ? snapshot.findClass(name) : nullptr;
}

tl::expected<const TeamSpec*, CallerError> authenticate(const ConfigurationSnapshot& snapshot, AdmittedRequest& request)
{
    request.keyDigest = digestKey(request.key);
    const auto* team = request.key.empty() ? nullptr : snapshot.findTeamByKey(request.keyDigest);
    if (!team || team->classes.empty()) {
        return Failure(CallerError::InvalidKey);
    }
    return team;
}

// Fills kind, target and team from the route; gives the class to use when the caller names none.
tl::expected<ClassName, CallerError> admitRoute(
    const ConfigurationSnapshot& snapshot, const CallerHead& head, AdmittedRequest& request)
{
    auto path = pathOf(head.target);
    bool completion = path == "/v1/chat/completions" || path == "/v1/completions";
    bool models = path == "/v1/models";
    const auto* route = completion || models ? nullptr : snapshot.findRoute(path);
    if (!completion && !models && !route) {
        return Failure(CallerError::UnknownRoute);
    }
    request.kind = completion ? RouteKind::Completion : models ? RouteKind::Models : RouteKind::Service;
    if (!route || !route->open) {
        auto team = authenticate(snapshot, request);
        if (!team) {
            return Failure(team.error());
        }
        request.team = *team;
    }
    if (head.method == "CONNECT" || head.method == "TRACE" || (completion && head.method != "POST")
        || (models && head.method != "GET" && head.method != "HEAD")) {
        return Failure(CallerError::MethodNotAllowed);
    }
    if (!route) {
        return request.team->classes.front();
    }
    request.targetName = route->service;
    request.idempotent = std::ranges::count(route->idempotentMethods, head.method) > 0;
    return route->className;
}

bool readCompletion(const json::object& body, AdmittedRequest& request)
{
    const auto* model = body.if_contains("model");
    if (!model || !model->is_string()) {
        return false;
    }
    request.targetName = TargetName(std::string(model->get_string()));
    const auto* stream = body.if_contains("stream");
    request.streamed = stream && stream->is_bool() && stream->get_bool();
    for (const auto* field : { "max_tokens", "max_completion_tokens" }) {
        if (const auto* limit = body.if_contains(field); limit && limit->is_int64() && limit->get_int64() > 0) {
            request.outputLimit = Tokens { limit->get_int64() };
        }
    }
    auto prompt = promptText(body);
    request.resumable = request.streamed && request.idempotent;
    request.promptTokens = estimateTokens(prompt.size());
    request.prefix = hashPrefix(prompt);
    return true;
}

} // namespace

std::string_view CallerHead::header(std::string_view lowerCaseName) const
{
    auto it = std::ranges::find_if(headers, [&](const auto& header) { return header.first == lowerCaseName; });
    return it == headers.end() ? std::string_view() : std::string_view(it->second);
}

tl::expected<AdmittedRequest, CallerError> admitHead(const ConfigurationSnapshot& snapshot, const CallerHead& head)
{
    if (!isAcceptableTarget(head.target)) {
        return Failure(CallerError::InvalidTarget);
    }
    if (auto encoding = head.header("transfer-encoding");
        !encoding.empty() && !equalsIgnoringCase(encoding, "chunked")) {
        return Failure(CallerError::UnsupportedTransferEncoding);
    }
    AdmittedRequest request;
    request.key = std::string(findKey(head));
    if (!request.key.empty() && revealsKey(head, request.key)) {
        return Failure(CallerError::KeyInRequest);
    }
    auto fallback = admitRoute(snapshot, head, request);
    if (!fallback) {
        return Failure(fallback.error());
    }
    request.classSpec = chooseClass(snapshot, head, request.team, *fallback);
    if (!request.classSpec) {
        return Failure(CallerError::ClassNotAllowed);
    }
    if (equalsIgnoringCase(head.header("x-idempotent"), "false")) {
        request.idempotent = false;
    }
    request.tier = snapshot.tierOf(request.team, *request.classSpec);
    request.deadline = request.classSpec->deadline;
    request.method = head.method;
    request.target = head.target;
    request.forwarded = selectHeaders(head);
    return request;
}

tl::expected<void, CallerError> admitBody(
    const ConfigurationSnapshot& snapshot, AdmittedRequest& request, std::string_view body)
{
    if (!request.key.empty() && contains(body, request.key)) {
        return Failure(CallerError::KeyInRequest);
    }
    request.key.clear();
    if (request.kind != RouteKind::Completion) {
        request.promptTokens = estimateTokens(body.size());
        return {};
    }
    auto value = parseJson(body);
    if (!value || !value->is_object() || !readCompletion(value->get_object(), request)) {
        return Failure(CallerError::InvalidRequest);
    }
    if (!snapshot.findDeployment(request.targetName)) {
        return Failure(CallerError::UnknownModel);
    }
    return {};
}

std::string formatBackendHead(const AdmittedRequest& request, const BackendHead& head)
{
    auto text = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    appendHeaderField(text, "host", head.host);
    appendHeaderField(text, "x-request-id", head.requestId);
    appendHeaderField(text, "x-priority", fmt::format("{}", head.tier.level));
    if (head.resumeAfter.count > 0) {
        appendHeaderField(text, "x-resume-after", fmt::format("{}", head.resumeAfter.count));
    }
    for (const auto& [name, value] : request.forwarded) {
        appendHeaderField(text, name, value);
    }
    bool bodyless = request.method == "GET" || request.method == "HEAD";
    if (head.bodyBytes > 0 || !bodyless) {
        appendHeaderField(text, "content-length", fmt::format("{}", head.bodyBytes));
    }
    return text += "\r\n";
}

bool isForwardedToCaller(std::string_view lowerCaseName)
{
    return std::ranges::count(responseHeaders, lowerCaseName) > 0;
}

} // namespace lagoonspoke
