#pragma once

#include "lagoonspoke/core/StringId.h"

#include <cstdint>

namespace lagoonspoke {

using InstanceId = StringId<struct InstanceIdTag>;
using DataCentreId = StringId<struct DataCentreIdTag>;
using RegionId = StringId<struct RegionIdTag>;
using TeamId = StringId<struct TeamIdTag>;
using ClassName = StringId<struct ClassNameTag>;
// One model or one plain service in one region, written "REGION/NAME".
using DomainId = StringId<struct DomainIdTag>;
using BackendServerId = StringId<struct BackendServerIdTag>;
// Unique over all instances: the entry's instance id, its incarnation and a counter.
using RequestId = StringId<struct RequestIdTag>;
// The model or plain service that a request asks for.
using TargetName = StringId<struct TargetNameTag>;
// The version of a backend server's software, as it names it; empty if it names none. Versions have no order.
using SoftwareVersion = StringId<struct SoftwareVersionTag>;
// Lower-case hexadecimal SHA-256 of a caller's key.
using KeyDigest = StringId<struct KeyDigestTag>;
// Lower-case hexadecimal SHA-256 of a stored value.
using ContentDigest = StringId<struct ContentDigestTag>;

// Grows with every grant of one dispatcher; unique together with the request id.
enum class GrantId : std::uint64_t {};

} // namespace lagoonspoke
