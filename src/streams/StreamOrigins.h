#pragma once

#include <optional>
#include <string>

#include "http/Asio.h"
#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// The software version that began a stream, and how it is known.
struct StreamOrigin {
    enum class Source {
        OnlyVersion, // no other version served the target while the stream could have begun
        Memory, // the request was granted at this instance
        Store, // read from the record of another instance
        Unknown,
    };
    Source source = Source::Unknown;
    SoftwareVersion version {}; // unless the source is Unknown

    bool operator==(const StreamOrigin&) const = default;
};

std::string_view toString(StreamOrigin::Source);

// Knows which software version began the streams that callers may take up at any instance. Implemented by the
// StreamOriginService. Callable from any thread.
class StreamOrigins {
public:
    virtual ~StreamOrigins() = default;

    // A request that may begin a stream was granted a server of the version. The caller may take the stream up within
    // the lifetime. Returns once the store has the version among those of the target and, if an earlier grant of the
    // request had another one, the stream's new version; or after a bound. False if the request must not be sent to the
    // server, as the store may still have the stream's earlier version.
    virtual asio::awaitable<bool> noteGranted(std::string callerId, TargetName, SoftwareVersion, Duration lifetime) = 0;
    // The version that began the stream with this request of a caller; without a name of the request, the target's only
    // version. Takes the bound at most.
    virtual asio::awaitable<StreamOrigin> find(std::string callerId, TargetName, Duration bound) = 0;
};

} // namespace lagoonspoke
