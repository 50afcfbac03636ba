#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "http/CallerError.h"
#include "http/HttpExchange.h"
#include "lagoonspoke/config/ConfigurationSnapshot.h"
#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

enum class RouteKind {
    Completion,
    Models,
    Service,
    EventStream, // a model's stream of numbered events
};

// The head of a request as it arrived, with header names in lower case. Trailers are not part of it.
struct CallerHead {
    std::string method;
    std::string target;
    HeaderList headers;

    std::string_view header(std::string_view lowerCaseName) const;
};

// A request that passed authentication and the checks of its head, and what its body adds.
// The pointers are valid as long as the snapshot.
struct AdmittedRequest {
    RouteKind kind = RouteKind::Completion;
    std::string method;
    std::string target;
    HeaderList forwarded;
    std::string key; // as presented; kept only until the body was searched for it
    KeyDigest keyDigest; // empty on a route open to all
    const TeamSpec* team = nullptr; // null on a route open to all
    const ClassSpec* classSpec = nullptr;
    bool idempotent = true;
    // Whether a stream that broke may go on at another backend server after the last event that arrived.
    bool resumable = false;
    // Whether the caller holds the first events of the stream and wants those after them.
    bool takesUpStream = false;
    // The caller's own name of the request that brought the first event; empty when the caller does not say.
    std::string takenUpRequest;
    TargetName targetName;
    Tier tier; // of the team's requests of the class
    int rank = 0; // number of tiers that come before it
    // The caller's own name of the request, which backend servers echo; empty when the entry names it.
    std::string callerId;
    // How long the caller waits, counted from the arrival of the head; the class's deadline when shorter.
    Duration deadline {};
    // Backend servers that the request may be sent to.
    int maxAttempts = 3;
    // Set by admitBody().
    bool streamed = false;
    Tokens promptTokens;
    Tokens outputLimit;
    std::vector<PrefixBlock> prefix;
    // Tokens of each part of the prefix; empty when all blocks are of one size.
    std::vector<Tokens> prefixTokens;
    // The shared parts of the prompt, each by itself; empty when the caller does not name them.
    std::vector<Fingerprint> parts = {};
};

// The bearer token, or an empty text. Several Authorization headers are ambiguous and give nothing.
std::string_view findKey(const CallerHead&);

// Whether the key also stands where it would reach a backend server: the target, also percent-encoded, or a header.
bool revealsKey(const CallerHead&, std::string_view key);

// Authenticates and routes a request, searches its target and headers for the key, and picks the headers to forward.
tl::expected<AdmittedRequest, CallerError> admitHead(const ConfigurationSnapshot&, const CallerHead&);

// Searches the body for the key and reads the model and the limits of a completion request.
tl::expected<void, CallerError> admitBody(const ConfigurationSnapshot&, AdmittedRequest&, std::string_view body);

// The head of the request to a backend server, up to and with the blank line.
struct BackendHead {
    std::string_view host;
    std::string_view requestId;
    Tier tier;
    Tokens resumeAfter; // 0 for a new answer
    std::string_view lastEventId = {}; // of a stream of numbered events to resume; empty for a new answer
    Duration remaining {}; // until the request's deadline
    std::string_view server = {}; // id of the backend server that the request is for
    std::size_t bodyBytes = 0;
};
std::string formatBackendHead(const AdmittedRequest&, const BackendHead&);

// The headers of a backend server's response that the caller receives, besides the content type.
bool isForwardedToCaller(std::string_view lowerCaseName);

} // namespace lagoonspoke
