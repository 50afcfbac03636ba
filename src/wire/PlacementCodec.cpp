#include "wire/PlacementCodec.h"

#include <cmath>
#include <cstring>
#include <optional>

#include "wire/FlatBufferAccess.h"
#include "wire/placement_generated.h"

namespace lagoonspoke {

using detail::readDuration;
using detail::readEnum;
using detail::toText;
using detail::writeText;

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

// A vector of prefix blocks or fingerprints.
template <typename Hash> auto writeHashes(Builder& builder, const std::vector<Hash>& hashes)
{
    std::vector<std::uint64_t> numbers;
    numbers.reserve(hashes.size());
    for (auto hash : hashes) {
        numbers.push_back(static_cast<std::uint64_t>(hash));
    }
    return builder.CreateVector(numbers);
}

auto writeTokens(Builder& builder, const std::vector<Tokens>& tokens)
{
    std::vector<std::int64_t> counts;
    counts.reserve(tokens.size());
    for (auto it : tokens) {
        counts.push_back(it.count);
    }
    return builder.CreateVector(counts);
}

// The verifier does not check where a vector of numbers begins, so that one in a damaged message may be misaligned.
template <typename Number> Number readNumber(const flatbuffers::Vector<Number>& vector, std::size_t i)
{
    Number number;
    std::memcpy(&number, vector.Data() + i * sizeof(Number), sizeof(Number));
    return flatbuffers::EndianScalar(number);
}

template <typename Hash> std::vector<Hash> readHashes(const flatbuffers::Vector<std::uint64_t>* vector)
{
    std::vector<Hash> hashes;
    for (std::size_t i = 0; vector && i < vector->size(); ++i) {
        hashes.push_back(Hash(readNumber(*vector, i)));
    }
    return hashes;
}

flatbuffers::Optional<double> writeRate(const std::optional<RequestRate>& rate)
{
    return rate ? flatbuffers::Optional<double>(rate->perSecond) : flatbuffers::nullopt;
}

// Empty when there is none, or no valid one.
std::optional<RequestRate> readRate(flatbuffers::Optional<double> perSecond)
{
    if (!perSecond || !std::isfinite(*perSecond) || *perSecond < 0) {
        return std::nullopt;
    }
    return RequestRate { *perSecond };
}

std::vector<Tokens> readTokens(const flatbuffers::Vector<std::int64_t>* vector)
{
    std::vector<Tokens> tokens;
    for (std::size_t i = 0; vector && i < vector->size(); ++i) {
        tokens.push_back({ readNumber(*vector, i) });
    }
    return tokens;
}

flatbuffers::Offset<wire::PlaceRequest> write(Builder& builder, const PlaceRequest& it)
{
    std::vector<flatbuffers::Offset<flatbuffers::String>> servers;
    for (const auto& server : it.excluded) {
        servers.push_back(builder.CreateString(server.value()));
    }
    auto request = writeText(builder, it.request.value());
    auto domain = writeText(builder, it.domain.value());
    auto team = writeText(builder, it.team.value());
    auto className = writeText(builder, it.className.value());
    auto prefix = writeHashes(builder, it.prefix);
    auto excluded = builder.CreateVector(servers);
    auto prefixTokens = writeTokens(builder, it.prefixTokens);
    auto parts = writeHashes(builder, it.parts);
    auto version = it.softwareVersion ? writeText(builder, it.softwareVersion->value())
                                      : flatbuffers::Offset<flatbuffers::String>();
    return wire::CreatePlaceRequest(builder, request, domain, team, className, it.tier.level, it.promptTokens.count,
        it.outputLimit.count, prefix, it.idempotent, static_cast<std::uint64_t>(it.fingerprint), it.remaining.count(),
        it.waited.count(), it.attempt, excluded, prefixTokens, parts, version);
}

flatbuffers::Offset<wire::Progress> write(Builder& builder, const Progress& it)
{
    auto request = writeText(builder, it.request.value());
    auto domain = writeText(builder, it.domain.value());
    return wire::CreateProgress(builder, request, static_cast<std::uint64_t>(it.grant), domain, it.firstByteSeen,
        it.timeToFirstByte.count(), it.outputTokens.count, it.finished, static_cast<std::uint8_t>(it.outcome),
        it.promptTokens.count, it.limitSeen, writeRate(it.limit), writeRate(it.rejectionLimit));
}

flatbuffers::Offset<wire::Withdraw> write(Builder& builder, const Withdraw& it)
{
    auto request = writeText(builder, it.request.value());
    return wire::CreateWithdraw(builder, request, writeText(builder, it.domain.value()));
}

using KnownLimitsVector = flatbuffers::Vector<flatbuffers::Offset<wire::KnownLimit>>;

flatbuffers::Offset<KnownLimitsVector> write(Builder& builder, const std::vector<KnownLimit>& limits)
{
    std::vector<flatbuffers::Offset<wire::KnownLimit>> written;
    for (const auto& known : limits) {
        auto server = writeText(builder, known.server.value());
        written.push_back(wire::CreateKnownLimit(builder, server, known.limit.perSecond, known.age.count()));
    }
    return builder.CreateVector(written);
}

flatbuffers::Offset<wire::Resync> write(Builder& builder, const Resync& it)
{
    std::vector<flatbuffers::Offset<wire::PlaceRequest>> waiting;
    for (const auto& place : it.waiting) {
        waiting.push_back(write(builder, place));
    }
    std::vector<flatbuffers::Offset<wire::HeldGrant>> held;
    for (const auto& grant : it.held) {
        auto request = write(builder, grant.request);
        auto server = writeText(builder, grant.server.value());
        held.push_back(wire::CreateHeldGrant(
            builder, request, static_cast<std::uint64_t>(grant.grant), server, grant.outputTokens.count));
    }
    std::vector<flatbuffers::Offset<wire::ReadPart>> parts;
    for (const auto& part : it.parts) {
        auto server = writeText(builder, part.server.value());
        auto prefix = writeHashes(builder, part.prefix);
        auto tokens = writeTokens(builder, part.prefixTokens);
        parts.push_back(wire::CreateReadPart(builder, server, prefix, tokens, part.age.count()));
    }
    auto limits = write(builder, it.limits);
    auto rejectionLimits = write(builder, it.rejectionLimits);
    auto entry = writeText(builder, it.entry.value());
    auto domain = writeText(builder, it.domain.value());
    auto waitingVector = builder.CreateVector(waiting);
    auto heldVector = builder.CreateVector(held);
    auto partsVector = builder.CreateVector(parts);
    return wire::CreateResync(builder, entry, domain, waitingVector, heldVector, partsVector, limits, rejectionLimits);
}

flatbuffers::Offset<wire::Grant> write(Builder& builder, const Grant& it)
{
    auto request = writeText(builder, it.request.value());
    auto server = writeText(builder, it.server.value());
    auto address = writeText(builder, it.address);
    auto version = writeText(builder, it.softwareVersion.value());
    return wire::CreateGrant(
        builder, request, static_cast<std::uint64_t>(it.grant), server, address, it.expiry.count(), version);
}

flatbuffers::Offset<wire::Refusal> write(Builder& builder, const Refusal& it)
{
    auto request = writeText(builder, it.request.value());
    return wire::CreateRefusal(builder, request, static_cast<std::uint8_t>(it.code), it.retryAfter.count());
}

flatbuffers::Offset<wire::Revoke> write(Builder& builder, const Revoke& it)
{
    auto request = writeText(builder, it.request.value());
    return wire::CreateRevoke(
        builder, request, static_cast<std::uint64_t>(it.grant), static_cast<std::uint8_t>(it.reason));
}

flatbuffers::Offset<wire::Accepted> write(Builder& builder, const Accepted& it)
{
    return wire::CreateAccepted(builder, writeText(builder, it.request.value()));
}

PlaceRequest read(const wire::PlaceRequest& it)
{
    PlaceRequest place;
    place.request = RequestId(toText(it.request()));
    place.domain = DomainId(toText(it.domain()));
    place.team = TeamId(toText(it.team()));
    place.className = ClassName(toText(it.class_name()));
    place.tier = { it.tier() };
    place.promptTokens = { it.prompt_tokens() };
    place.outputLimit = { it.output_limit() };
    place.prefix = readHashes<PrefixBlock>(it.prefix());
    place.prefixTokens = readTokens(it.prefix_tokens());
    place.idempotent = it.idempotent();
    place.fingerprint = Fingerprint(it.fingerprint());
    place.parts = readHashes<Fingerprint>(it.parts());
    place.remaining = readDuration(it.remaining_ns());
    place.waited = readDuration(it.waited_ns());
    place.attempt = it.attempt();
    if (const auto* version = it.software_version()) {
        place.softwareVersion = SoftwareVersion(toText(version));
    }
    if (const auto* servers = it.excluded()) {
        for (const auto* server : *servers) {
            place.excluded.emplace_back(toText(server));
        }
    }
    return place;
}

std::vector<KnownLimit> readLimits(const KnownLimitsVector* written)
{
    std::vector<KnownLimit> limits;
    for (std::size_t i = 0; written && i < written->size(); ++i) {
        const auto* known = written->Get(static_cast<flatbuffers::uoffset_t>(i));
        if (auto rate = readRate(known->per_second())) {
            limits.push_back({ BackendServerId(toText(known->server())), *rate, readDuration(known->age_ns()) });
        }
    }
    return limits;
}

Resync read(const wire::Resync& it)
{
    Resync resync { InstanceId(toText(it.entry())), DomainId(toText(it.domain())), {}, {}, {} };
    if (const auto* waiting = it.waiting()) {
        for (const auto* place : *waiting) {
            resync.waiting.push_back(read(*place));
        }
    }
    if (const auto* held = it.held()) {
        for (const auto* grant : *held) {
            resync.held.push_back({ grant->request() ? read(*grant->request()) : PlaceRequest(),
                GrantId(grant->grant()), BackendServerId(toText(grant->server())), { grant->output_tokens() } });
        }
    }
    for (std::size_t i = 0; it.parts() && i < it.parts()->size(); ++i) {
        const auto* part = it.parts()->Get(static_cast<flatbuffers::uoffset_t>(i));
        resync.parts.push_back({ BackendServerId(toText(part->server())), readHashes<PrefixBlock>(part->prefix()),
            readTokens(part->prefix_tokens()), readDuration(part->age_ns()) });
    }
    resync.limits = readLimits(it.limits());
    resync.rejectionLimits = readLimits(it.rejection_limits());
    return resync;
}

std::optional<PlacementMessage> readProgress(const wire::Progress& it)
{
    Progress progress;
    progress.request = RequestId(toText(it.request()));
    progress.grant = GrantId(it.grant());
    progress.domain = DomainId(toText(it.domain()));
    progress.firstByteSeen = it.first_byte_seen();
    progress.timeToFirstByte = readDuration(it.time_to_first_byte_ns());
    progress.outputTokens = { it.output_tokens() };
    progress.finished = it.finished();
    progress.promptTokens = { it.prompt_tokens() };
    progress.limitSeen = it.limit_seen();
    progress.limit = readRate(it.limit_per_second());
    progress.rejectionLimit = readRate(it.rejections_per_second());
    if (!readEnum(it.outcome(), FinishOutcome::Disconnected, progress.outcome)) {
        return std::nullopt;
    }
    return progress;
}

std::optional<PlacementMessage> readRefusal(const wire::Refusal& it)
{
    Refusal refusal { RequestId(toText(it.request())), {}, readDuration(it.retry_after_ns()) };
    if (!readEnum(it.code(), RefusalCode::VersionGone, refusal.code)) {
        return std::nullopt;
    }
    return refusal;
}

std::optional<PlacementMessage> readRevoke(const wire::Revoke& it)
{
    Revoke revoke { RequestId(toText(it.request())), GrantId(it.grant()), {} };
    if (!readEnum(it.reason(), RevokeReason::ServerLeaving, revoke.reason)) {
        return std::nullopt;
    }
    return revoke;
}

std::optional<PlacementMessage> readBody(const wire::PlacementPacket& packet)
{
    switch (packet.body_type()) {
    case wire::PlacementBody::PlaceRequest:
        return read(*packet.body_as_PlaceRequest());
    case wire::PlacementBody::Progress:
        return readProgress(*packet.body_as_Progress());
    case wire::PlacementBody::Withdraw: {
        const auto* it = packet.body_as_Withdraw();
        return Withdraw { RequestId(toText(it->request())), DomainId(toText(it->domain())) };
    }
    case wire::PlacementBody::Resync:
        return read(*packet.body_as_Resync());
    case wire::PlacementBody::Grant: {
        const auto* it = packet.body_as_Grant();
        return Grant { RequestId(toText(it->request())), GrantId(it->grant()), BackendServerId(toText(it->server())),
            toText(it->address()), readDuration(it->expiry_ns()), SoftwareVersion(toText(it->software_version())) };
    }
    case wire::PlacementBody::Refusal:
        return readRefusal(*packet.body_as_Refusal());
    case wire::PlacementBody::Revoke:
        return readRevoke(*packet.body_as_Revoke());
    case wire::PlacementBody::Accepted:
        return Accepted { RequestId(toText(packet.body_as_Accepted()->request())) };
    default:
        return std::nullopt;
    }
}

} // namespace

std::string encodePlacementPacket(const PlacementPacket& packet)
{
    Builder builder(512);
    auto domain = writeText(builder, packet.domain.value());
    auto body = std::visit([&](const auto& it) { return write(builder, it).Union(); }, packet.message);
    // The union lists the messages in the order of the variant; zero means none.
    auto type = static_cast<wire::PlacementBody>(packet.message.index() + 1);
    builder.Finish(wire::CreatePlacementPacket(builder, domain, type, body));
    return detail::finishBuffer(builder);
}

Outcome<PlacementPacket> decodePlacementPacket(std::string_view bytes)
{
    const std::string aligned(bytes);
    const auto* table = detail::verifyRoot<wire::PlacementPacket>(aligned);
    auto message = table && table->body() ? readBody(*table) : std::nullopt;
    if (!message) {
        return makeError(ErrorCode::ProtocolViolation, "not a placement message");
    }
    return PlacementPacket { DomainId(toText(table->domain())), std::move(*message) };
}

} // namespace lagoonspoke
