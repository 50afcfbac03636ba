#include "wire/UsageCodec.h"

#include "lagoonspoke/core/Overload.h"
#include "wire/FlatBufferAccess.h"
#include "wire/usage_generated.h"

namespace lagoonspoke {

using detail::toText;

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

flatbuffers::Offset<wire::UsageFact> write(Builder& builder, const UsageFact& fact)
{
    std::vector<flatbuffers::Offset<wire::UsageTeam>> teams;
    for (const auto& [team, figures] : fact.teams) {
        auto name = builder.CreateString(team.value());
        teams.push_back(
            wire::CreateUsageTeam(builder, name, figures.requests, figures.promptTokens, figures.outputTokens));
    }
    auto vector = builder.CreateVector(teams);
    return wire::CreateUsageFact(builder, fact.window, fact.sequence, fact.final, vector);
}

flatbuffers::Offset<wire::UsageCopy> write(Builder& builder, const UsageCopy& copy)
{
    std::vector<flatbuffers::Offset<wire::UsageFact>> facts;
    for (const auto& fact : copy.facts) {
        facts.push_back(write(builder, fact));
    }
    auto writer = builder.CreateString(copy.writer.value());
    auto vector = builder.CreateVector(facts);
    return wire::CreateUsageCopy(builder, writer, copy.base, copy.sequence, copy.completeBelow, copy.leaving, vector);
}

flatbuffers::Offset<wire::UsageCopyAck> write(Builder& builder, const UsageCopyAck& ack)
{
    auto writer = builder.CreateString(ack.writer.value());
    return wire::CreateUsageCopyAck(builder, writer, ack.sequence);
}

UsageFact readFact(const wire::UsageFact& table)
{
    UsageFact fact { table.window(), table.sequence(), table.closed(), {} };
    if (table.teams() != nullptr) {
        for (const auto* team : *table.teams()) {
            fact.teams[TeamId(toText(team->team()))]
                = { team->requests(), team->prompt_tokens(), team->output_tokens() };
        }
    }
    return fact;
}

UsageCopy readCopy(const wire::UsageCopy& table)
{
    UsageCopy copy { InstanceId(toText(table.writer())), table.base(), table.sequence(), table.complete_below(),
        table.leaving(), {} };
    if (table.facts() != nullptr) {
        for (const auto* fact : *table.facts()) {
            copy.facts.push_back(readFact(*fact));
        }
    }
    return copy;
}

} // namespace

std::string encodeUsageMessage(const UsageMessage& message)
{
    Builder builder;
    auto packet
        = std::visit(Overload {
                         [&](const UsageCopy& it) {
                             auto body = write(builder, it);
                             return wire::CreateUsagePacket(builder, wire::UsageBody::UsageCopy, body.Union());
                         },
                         [&](const UsageCopyAck& it) {
                             auto body = write(builder, it);
                             return wire::CreateUsagePacket(builder, wire::UsageBody::UsageCopyAck, body.Union());
                         },
                         [&](const UsageSealCopy& it) {
                             auto value = builder.CreateString(it.value);
                             auto body = wire::CreateUsageSealCopy(builder, it.window, value);
                             return wire::CreateUsagePacket(builder, wire::UsageBody::UsageSealCopy, body.Union());
                         },
                     },
            message);
    builder.Finish(packet);
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

Outcome<UsageMessage> decodeUsageMessage(std::string_view payload)
{
    // The fields are aligned to 8 bytes from the start of the buffer, and the payload may begin anywhere in a frame.
    std::string buffer(payload);
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(buffer.data()), buffer.size());
    if (!verifier.VerifyBuffer<wire::UsagePacket>(nullptr)) {
        return makeError(ErrorCode::ProtocolViolation, "a usage message is malformed");
    }
    const auto* packet = flatbuffers::GetRoot<wire::UsagePacket>(buffer.data());
    if (const auto* copy = packet->body_as_UsageCopy()) {
        return readCopy(*copy);
    }
    if (const auto* ack = packet->body_as_UsageCopyAck()) {
        return UsageCopyAck { InstanceId(toText(ack->writer())), ack->sequence() };
    }
    if (const auto* seal = packet->body_as_UsageSealCopy()) {
        return UsageSealCopy { seal->window(), toText(seal->value()) };
    }
    return makeError(ErrorCode::ProtocolViolation, "a usage message has an unknown body");
}

} // namespace lagoonspoke
