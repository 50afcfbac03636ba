#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "entry/RequestAdmission.h"
#include "http/CallerError.h"
#include "http/HttpExchange.h"
#include "lagoonspoke/core/Units.h"
#include "lagoonspoke/dispatch/Messages.h"

namespace lagoonspoke {

// What the head of a backend server's answer says.
struct BackendAnswer {
    enum class Execution {
        Ran,
        NotRun, // the server is full or leaving; the request can go elsewhere
        OtherServer, // another server than the expected one has the address; it did not run the request
    };
    std::string requestId; // that the server echoes; empty when it gave none, or several
    Execution execution = Execution::Ran;
    // Whether it may be passed on as the answer to the request with that id.
    bool usable = true;
    // Whether callers would take it for a promise that the request has not run, which the server did not give.
    bool seemsNotRun = false;
    // The requests that the server takes from all instances together; empty when it names none, or no valid rate.
    std::optional<RequestRate> limit;
    // The requests a second that the server may have to reject, from all instances together, without failing.
    std::optional<RequestRate> rejectionLimit;
    bool hasInvalidLimit = false; // one of the two is no rate
    // What it says of further requests; empty when it says nothing.
    std::optional<ServerSignal> signal;
    bool hasInvalidPause = false; // negative, too long, or no number of seconds
    HeaderList headers; // for the caller, without the content type
};

// Reads the headers with the server's limits of requests and of rejections into the answer. Of several valid rates the
// lowest one counts.
void readLimits(const http::response_header<>&, std::string_view requestLimitName, std::string_view rejectionLimitName,
    BackendAnswer&);

// Reads the header with the time, in seconds, for which the server takes no request from this instance. A time above
// the bound is cut to it.
void readServerPause(const http::response_header<>&, std::string_view headerName, BackendAnswer&);

// An error as the caller receives it.
struct CallerErrorAnswer {
    http::status status = http::status::service_unavailable;
    std::string contentType;
    std::string body;
    HeaderList headers;
};

struct CallerErrorReport {
    CallerError error;
    RunStatus run = RunStatus::NotRun;
    std::string_view requestId; // as the caller knows it; empty before the head was read
    Duration retryAfter {}; // zero when no time is known
};

// The HTTP conventions between callers, this product and backend servers: which fields of a head mean what, and how
// errors look. Stateless; shared by every request of an instance, which outlives them.
class CallerDialect {
public:
    virtual ~CallerDialect() = default;

    // Authenticates and routes a request and picks the headers to forward.
    virtual tl::expected<AdmittedRequest, CallerError> admitHead(
        const ConfigurationSnapshot&, const CallerHead&) const = 0;
    // Checks the body and reads what it adds to the request.
    virtual tl::expected<void, CallerError> admitBody(
        const ConfigurationSnapshot&, AdmittedRequest&, std::string_view body) const = 0;
    // The head of the request to a backend server, up to and with the blank line.
    virtual std::string formatBackendHead(const AdmittedRequest&, const BackendHead&) const = 0;
    virtual BackendAnswer readAnswer(const http::response_header<>&) const = 0;
    virtual CallerErrorAnswer formatError(const CallerErrorReport&) const = 0;
};

// The product's own conventions, described in docs/errors.md and docs/configuration.md.
class OwnDialect final : public CallerDialect {
public:
    tl::expected<AdmittedRequest, CallerError> admitHead(
        const ConfigurationSnapshot&, const CallerHead&) const override;
    tl::expected<void, CallerError> admitBody(
        const ConfigurationSnapshot&, AdmittedRequest&, std::string_view body) const override;
    std::string formatBackendHead(const AdmittedRequest&, const BackendHead&) const override;
    BackendAnswer readAnswer(const http::response_header<>&) const override;
    CallerErrorAnswer formatError(const CallerErrorReport&) const override;
};

} // namespace lagoonspoke
