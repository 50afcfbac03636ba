#include "wire/FleetCodec.h"

#include "wire/FlatBufferAccess.h"
#include "wire/fleet_generated.h"

namespace lagoonspoke {

using detail::toText;

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

flatbuffers::Offset<wire::DomainLoad> write(Builder& builder, const DomainLoad& load)
{
    std::vector<flatbuffers::Offset<wire::BusyServer>> busy;
    for (const auto& [server, count] : load.busy) {
        auto id = builder.CreateString(server.value());
        busy.push_back(wire::CreateBusyServer(builder, id, count));
    }
    auto domain = builder.CreateString(load.domain.value());
    auto vector = builder.CreateVector(busy);
    return wire::CreateDomainLoad(
        builder, domain, load.slots, load.protectedSlots, vector, load.meanRequests, load.readingServers);
}

DomainLoad read(const wire::DomainLoad& table)
{
    DomainLoad load;
    load.domain = DomainId(toText(table.domain()));
    load.slots = table.load();
    load.protectedSlots = table.protected_load();
    load.meanRequests = table.mean_requests();
    load.readingServers = table.reading_servers();
    if (table.busy() != nullptr) {
        for (const auto* it : *table.busy()) {
            load.busy[BackendServerId(toText(it->server()))] = it->in_flight();
        }
    }
    return load;
}

} // namespace

std::string encodeFleetPacket(const FleetPacket& packet)
{
    Builder builder;
    std::vector<flatbuffers::Offset<wire::DomainLoad>> loads;
    for (const auto& load : packet.loads) {
        loads.push_back(write(builder, load));
    }
    auto vector = builder.CreateVector(loads);
    builder.Finish(wire::CreateFleetPacket(builder, vector, packet.isQuery));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

Outcome<FleetPacket> decodeFleetPacket(std::string_view bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    if (!wire::VerifyFleetPacketBuffer(verifier)) {
        return makeError(ErrorCode::ProtocolViolation, "not a valid fleet packet");
    }
    const auto* table = wire::GetFleetPacket(bytes.data());
    FleetPacket packet;
    packet.isQuery = table->is_query();
    if (table->loads() != nullptr) {
        for (const auto* it : *table->loads()) {
            packet.loads.push_back(read(*it));
        }
    }
    return packet;
}

} // namespace lagoonspoke
