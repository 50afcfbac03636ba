#include "lagoonspoke/dispatch/Messages.h"

namespace lagoonspoke {

std::string_view toString(RefusalCode code)
{
    switch (code) {
    case RefusalCode::Overloaded:
        return "overloaded";
    case RefusalCode::TeamLimit:
        return "team_limit";
    case RefusalCode::QueueFull:
        return "queue_full";
    case RefusalCode::DeadlineTooShort:
        return "deadline_too_short";
    case RefusalCode::Quarantined:
        return "quarantined";
    case RefusalCode::NoServers:
        return "no_servers";
    case RefusalCode::VersionGone:
        return "version_gone";
    case RefusalCode::NotOwner:
        break;
    }
    return "not_owner";
}

} // namespace lagoonspoke
