#include "wire/MembershipCodec.h"

#include "lagoonspoke/core/Overload.h"
#include "wire/FlatBufferAccess.h"
#include "wire/membership_generated.h"

namespace lagoonspoke {

using detail::toText;
using detail::writeBytes;
using detail::writeText;

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

flatbuffers::Offset<wire::Member> writeMember(Builder& builder, const Member& member)
{
    auto id = writeText(builder, member.id.value());
    auto dataCentre = writeText(builder, member.dataCentre.value());
    auto region = writeText(builder, member.region.value());
    auto address = writeText(builder, member.peerAddress);
    return wire::CreateMember(builder, id, dataCentre, region, address, member.incarnation,
        static_cast<std::uint8_t>(member.state), member.capacity);
}

flatbuffers::Offset<wire::Gossip> writeGossip(Builder& builder, const Gossip& gossip)
{
    if (gossip.members.empty() && gossip.rumours.empty()) {
        return 0;
    }
    std::vector<flatbuffers::Offset<wire::Member>> members;
    for (const auto& member : gossip.members) {
        members.push_back(writeMember(builder, member));
    }
    std::vector<flatbuffers::Offset<wire::Rumour>> rumours;
    for (const auto& rumour : gossip.rumours) {
        auto key = writeText(builder, rumour.key);
        auto payload = writeBytes(builder, rumour.payload);
        rumours.push_back(wire::CreateRumour(builder, key, rumour.version, payload, rumour.age.count()));
    }
    auto memberVector = builder.CreateVector(members);
    auto rumourVector = builder.CreateVector(rumours);
    return wire::CreateGossip(builder, memberVector, rumourVector);
}

struct Header {
    wire::MembershipKind kind;
    const Member& from;
    const Gossip& gossip;
    std::uint64_t sequence = 0;
    std::uint64_t digest = 0;
    const InstanceId* target = nullptr;
    bool wantsReply = false;
};

std::string writeMessage(const Header& header)
{
    Builder builder(256);
    auto from = writeMember(builder, header.from);
    auto target
        = header.target ? writeText(builder, header.target->value()) : flatbuffers::Offset<flatbuffers::String>();
    auto gossip = writeGossip(builder, header.gossip);
    builder.Finish(wire::CreateMembershipMessage(
        builder, header.kind, header.sequence, from, target, header.digest, header.wantsReply, gossip));
    return detail::finishBuffer(builder);
}

bool readMember(const wire::Member* table, Member& member)
{
    if (!table) {
        return false;
    }
    member.id = InstanceId(toText(table->id()));
    member.capacity = table->capacity();
    member.dataCentre = DataCentreId(toText(table->data_centre()));
    member.region = RegionId(toText(table->region()));
    member.peerAddress = toText(table->peer_address());
    member.incarnation = table->incarnation();
    return !member.id.empty() && detail::readEnum(table->state(), MemberState::Dead, member.state);
}

bool readGossip(const wire::Gossip* table, Gossip& gossip)
{
    if (!table) {
        return true;
    }
    if (const auto* members = table->members()) {
        for (const auto* it : *members) {
            if (!readMember(it, gossip.members.emplace_back())) {
                return false;
            }
        }
    }
    if (const auto* rumours = table->rumours()) {
        for (const auto* it : *rumours) {
            gossip.rumours.push_back(
                { toText(it->key()), it->version(), toText(it->payload()), detail::readDuration(it->age_ns()) });
        }
    }
    return true;
}

} // namespace

std::string encodeMembershipMessage(const MembershipMessage& message)
{
    using Kind = wire::MembershipKind;
    return std::visit(
        Overload {
            [](const Probe& it) {
                return writeMessage({ Kind::Probe, it.from, it.gossip, it.sequence, it.digest });
            },
            [](const ProbeAck& it) {
                return writeMessage({ Kind::ProbeAck, it.from, it.gossip, it.sequence, it.digest });
            },
            [](const IndirectProbe& it) {
                return writeMessage({ Kind::IndirectProbe, it.from, it.gossip, it.sequence, 0, &it.target });
            },
            [](const IndirectAck& it) {
                return writeMessage({ Kind::IndirectAck, it.from, it.gossip, it.sequence });
            },
            [](const TableSync& it) {
                return writeMessage({ Kind::TableSync, it.from, it.table, 0, 0, nullptr, it.wantsReply });
            },
        },
        message);
}

Outcome<MembershipMessage> decodeMembershipMessage(std::string_view bytes)
{
    const std::string aligned(bytes);
    const auto* table = detail::verifyRoot<wire::MembershipMessage>(aligned);
    Member from;
    Gossip gossip;
    if (!table || !readMember(table->from(), from) || !readGossip(table->gossip(), gossip)) {
        return makeError(ErrorCode::ProtocolViolation, "not a membership message");
    }
    switch (table->kind()) {
    case wire::MembershipKind::Probe:
        return Probe { table->sequence(), std::move(from), table->digest(), std::move(gossip) };
    case wire::MembershipKind::ProbeAck:
        return ProbeAck { table->sequence(), std::move(from), table->digest(), std::move(gossip) };
    case wire::MembershipKind::IndirectProbe:
        return IndirectProbe { table->sequence(), std::move(from), InstanceId(toText(table->target())),
            std::move(gossip) };
    case wire::MembershipKind::IndirectAck:
        return IndirectAck { table->sequence(), std::move(from), std::move(gossip) };
    case wire::MembershipKind::TableSync:
        return TableSync { std::move(from), table->wants_reply(), std::move(gossip) };
    }
    return makeError(ErrorCode::ProtocolViolation, "unknown kind of membership message");
}

} // namespace lagoonspoke
