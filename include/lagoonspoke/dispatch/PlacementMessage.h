#pragma once

#include "lagoonspoke/dispatch/Messages.h"

namespace lagoonspoke {

// The dispatcher's instance received the request; a grant or a refusal follows.
struct Accepted {
    RequestId request;
};

using PlacementMessage = std::variant<PlaceRequest, Progress, Withdraw, Resync, Grant, Refusal, Revoke, Accepted>;

// A placement message as sent between instances. A Refusal NotOwner without a request applies to the whole domain.
struct PlacementPacket {
    DomainId domain;
    PlacementMessage message;
};

} // namespace lagoonspoke
