#include <random>

#include <catch2/catch.hpp>

#include "wire/FrameDecoder.h"
#include "wire/MembershipCodec.h"
#include "wire/PlacementCodec.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

Member makeMember()
{
    return { InstanceId("e1"), DataCentreId("riga-a"), RegionId("riga"), "127.0.0.1:9", 7, MemberState::Leaving };
}

PlaceRequest makePlace()
{
    PlaceRequest place;
    place.request = RequestId("r1");
    place.domain = DomainId("riga/m");
    place.team = TeamId("t");
    place.className = ClassName("c");
    place.tier = { 3 };
    place.promptTokens = { 10 };
    place.outputLimit = { 20 };
    place.prefix = { PrefixBlock(1), PrefixBlock(~0ull) };
    place.idempotent = false;
    place.fingerprint = Fingerprint(99);
    place.remaining = 5s;
    place.waited = 12ms;
    place.attempt = 2;
    place.excluded = { BackendServerId("s1"), BackendServerId("s2") };
    place.parts = { Fingerprint(7), Fingerprint(~0ull) };
    place.softwareVersion = SoftwareVersion("v2");
    return place;
}

std::vector<MembershipMessage> makeMembershipMessages()
{
    Gossip gossip { { makeMember(), { InstanceId("e2"), {}, {}, "", 3, MemberState::Dead } },
        { { "floor/riga/m/e1", 8, std::string("\0a", 2), 3s } } };
    return { Probe { 1, makeMember(), 5, gossip }, ProbeAck { 2, makeMember(), 6, {} },
        IndirectProbe { 3, makeMember(), InstanceId("e3"), gossip }, IndirectAck { 4, makeMember(), gossip },
        TableSync { makeMember(), true, gossip } };
}

std::vector<PlacementPacket> makePackets()
{
    DomainId domain("riga/m");
    RequestId request("r1");
    Progress progress { request, GrantId(4), domain, true, 3ms, { 6 }, true, FinishOutcome::ServerDied, { 8 }, true,
        RequestRate { 2.5 }, RequestRate { 1.5 } };
    Resync resync { InstanceId("e1"), domain, { makePlace() },
        { { makePlace(), GrantId(5), BackendServerId("s3"), { 9 } } }, {},
        { { BackendServerId("s5"), RequestRate { 0.5 }, 3s } }, { { BackendServerId("s6"), RequestRate { 4 }, 3s } } };
    return { { domain, makePlace() }, { domain, progress }, { domain, Withdraw { request, domain } },
        { domain, resync }, { domain, Grant { request, GrantId(6), BackendServerId("s4"), "127.0.0.1:8", 2s } },
        { domain, Refusal { request, RefusalCode::NotOwner, 7ms } },
        { domain, Revoke { request, GrantId(7), RevokeReason::ServerLeaving } }, { domain, Accepted { request } } };
}

std::vector<std::string> makeEncodings()
{
    std::vector<std::string> encodings;
    for (const auto& message : makeMembershipMessages()) {
        encodings.push_back(encodeMembershipMessage(message));
    }
    for (const auto& packet : makePackets()) {
        encodings.push_back(encodePlacementPacket(packet));
    }
    return encodings;
}

} // namespace

// Guards against a field that is written but not read, or read from another field.
TEST_CASE("membership messages survive a round trip")
{
    for (const auto& message : makeMembershipMessages()) {
        auto decoded = decodeMembershipMessage(encodeMembershipMessage(message));
        REQUIRE(decoded);
        REQUIRE(*decoded == message);
    }
}

// Guards against a lost or exchanged field: the second encoding shows every field of the first, and the fields that
// differ between similar messages are compared one by one.
TEST_CASE("placement messages survive a round trip")
{
    for (const auto& packet : makePackets()) {
        auto bytes = encodePlacementPacket(packet);
        auto decoded = decodePlacementPacket(bytes);
        REQUIRE(decoded);
        REQUIRE(decoded->message.index() == packet.message.index());
        REQUIRE(encodePlacementPacket(*decoded) == bytes);
    }
    auto place = std::get<PlaceRequest>(decodePlacementPacket(encodePlacementPacket(makePackets()[0]))->message);
    REQUIRE(place.tier.level == 3);
    REQUIRE(place.promptTokens.count == 10);
    REQUIRE(place.outputLimit.count == 20);
    REQUIRE(place.remaining == 5s);
    REQUIRE(place.waited == 12ms);
    REQUIRE(place.attempt == 2);
    REQUIRE(place.prefix[1] == PrefixBlock(~0ull));
    REQUIRE(place.excluded[1] == BackendServerId("s2"));
    REQUIRE(place.parts == std::vector { Fingerprint(7), Fingerprint(~0ull) });
    REQUIRE(place.softwareVersion == SoftwareVersion("v2"));
    auto progress = std::get<Progress>(decodePlacementPacket(encodePlacementPacket(makePackets()[1]))->message);
    REQUIRE(progress.outcome == FinishOutcome::ServerDied);
    REQUIRE(progress.outputTokens.count == 6);
    REQUIRE(progress.limitSeen);
    REQUIRE(progress.limit == RequestRate { 2.5 });
    auto resync = std::get<Resync>(decodePlacementPacket(encodePlacementPacket(makePackets()[3]))->message);
    REQUIRE(resync.limits.at(0).server == BackendServerId("s5"));
    REQUIRE(resync.limits.at(0).limit == RequestRate { 0.5 });
    REQUIRE(resync.limits.at(0).age == 3s);
    REQUIRE(progress.rejectionLimit == RequestRate { 1.5 });
    REQUIRE(resync.rejectionLimits.at(0).server == BackendServerId("s6"));
    REQUIRE(resync.rejectionLimits.at(0).limit == RequestRate { 4 });
    REQUIRE(progress.promptTokens.count == 8);
}

// Guards against frames that are lost or joined when a read ends inside one.
TEST_CASE("frames arrive whole from any portions")
{
    std::vector<Frame> frames { HelloFrame { InstanceId("e1"), 7, DataCentreId("a"), RegionId("r"), "127.0.0.1:1" },
        HeartbeatFrame {}, PayloadFrame { 3, std::string(100'000, 'x') }, PayloadFrame { 4, "" } };
    std::string stream;
    for (const auto& frame : frames) {
        stream += encodeFrame(frame).value();
    }
    for (std::size_t step : { std::size_t(1), std::size_t(7), stream.size() }) {
        FrameDecoder decoder;
        std::vector<Frame> received;
        for (std::size_t i = 0; i < stream.size(); i += step) {
            decoder.append(std::string_view(stream).substr(i, step));
            for (auto frame = decoder.next(); frame.value(); frame = decoder.next()) {
                received.push_back(std::move(**frame));
            }
        }
        REQUIRE(received == frames);
    }
}

// Guards against buffering without bound for a peer that announces a huge frame.
TEST_CASE("a frame over the limit is an error before its bytes arrive")
{
    FrameDecoder decoder;
    decoder.append(std::string("\x01\x00\x10\x00", 4));
    REQUIRE(decoder.next().error().code == ErrorCode::TooLarge);
    REQUIRE_FALSE(encodeFrame(PayloadFrame { 0, std::string(maxFrameBytes, 'x') }));
}

// Guards against reads outside of a damaged buffer (seen by the address sanitizer) and against exceptions.
TEST_CASE("damaged messages never fail in another way than by an error value")
{
    std::mt19937_64 random(20);
    auto encodings = makeEncodings();
    for (const auto& encoding : makeEncodings()) {
        encodings.push_back(encodeFrame(PayloadFrame { 1, encoding }).value());
    }
    std::size_t accepted = 0;
    for (int i = 0; i < 20'000; ++i) {
        auto bytes = encodings[random() % encodings.size()];
        for (auto n = random() % 4 + 1; n > 0; --n) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        bytes.resize(bytes.size() - (random() % 3 == 0 ? random() % bytes.size() : 0));
        FrameDecoder decoder;
        decoder.append(bytes);
        accepted += decodeMembershipMessage(bytes) ? 1 : 0;
        accepted += decodePlacementPacket(bytes) ? 1 : 0;
        accepted += decoder.next() ? 1 : 0;
    }
    // Some damage is harmless; all of it being refused, or none, would show that nothing was tried.
    REQUIRE(accepted > 0);
    REQUIRE(accepted < 60'000);
}

} // namespace lagoonspoke
