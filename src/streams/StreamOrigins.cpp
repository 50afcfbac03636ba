#include "streams/StreamOrigins.h"

namespace lagoonspoke {

std::string_view toString(StreamOrigin::Source source)
{
    switch (source) {
    case StreamOrigin::Source::OnlyVersion:
        return "only_version";
    case StreamOrigin::Source::Memory:
        return "memory";
    case StreamOrigin::Source::Store:
        return "store";
    case StreamOrigin::Source::Unknown:
        break;
    }
    return "unknown";
}

} // namespace lagoonspoke
