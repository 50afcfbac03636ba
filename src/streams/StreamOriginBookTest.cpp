#include "streams/StreamOriginBook.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

const TargetName target("m");
const SoftwareVersion oldVersion("v1");
const SoftwareVersion newVersion("v2");
constexpr MonotonicTime start(100s);

BackendServer makeServer(const SoftwareVersion& version)
{
    BackendServer server;
    server.id = BackendServerId("of-" + version.value());
    server.target = target;
    server.softwareVersion = version;
    return server;
}

// A book that has read the store and sees servers of the versions.
StreamOriginBook makeBook(std::initializer_list<SoftwareVersion> versions, std::string_view stored = {})
{
    StreamOriginBook book;
    REQUIRE(book.takeVersions(stored, start));
    std::vector<BackendServer> servers;
    for (const auto& version : versions) {
        servers.push_back(makeServer(version));
    }
    book.setServers(servers, start);
    return book;
}

StreamOrigin::Source sourceOf(const StreamOriginBook& book, const std::string& id)
{
    return book.findRead(id, target, start + 1s).source;
}

} // namespace

TEST_CASE("with one version nothing is recorded for streams, and all of them are of that version")
{
    auto book = makeBook({ oldVersion });
    book.noteGranted("a", target, oldVersion, 5s, start);
    CHECK_FALSE(book.isRecordOutdated());
    CHECK(sourceOf(book, "of another instance") == StreamOrigin::Source::OnlyVersion);
}

// Guards against streams that began before a second version came, and are in no record.
TEST_CASE("streams that run when a second version appears are recorded")
{
    auto book = makeBook({ oldVersion });
    book.noteGranted("a", target, oldVersion, 5s, start);
    book.setServers({ makeServer(oldVersion), makeServer(newVersion) }, start + 1s);
    REQUIRE(book.isRecordOutdated());
    auto other = makeBook({ oldVersion, newVersion });
    CHECK(sourceOf(other, "a") == StreamOrigin::Source::Unknown);
    REQUIRE(other.takeRecord(book.makeRecord(start + 1s), false, start + 1s));
    CHECK(other.findRead("a", target, start + 2s) == StreamOrigin { StreamOrigin::Source::Store, oldVersion });
    CHECK(sourceOf(other, "not recorded") == StreamOrigin::Source::Unknown);
}

// Guards against a process that starts after the last server of the old version has left, and takes each stream for one
// of the version that it sees.
TEST_CASE("a version that only the store knows of counts until no stream of it can be left")
{
    auto book = makeBook({ newVersion }, R"({"m":["v1"]})");
    book.setRetention(10s, start);
    CHECK(sourceOf(book, "a") == StreamOrigin::Source::Unknown);
    CHECK(book.areVersionsOutdated());
    book.advance(start + 11s);
    CHECK_FALSE(book.isMixed());
    CHECK(book.makeVersions() == R"({"m":["v2"]})");
    CHECK(sourceOf(book, "a") == StreamOrigin::Source::OnlyVersion);
}

// Guards against an instance whose list is behind the dispatcher's, and that takes each stream for one of the version
// that it has listed.
TEST_CASE("the version of a granted server counts before the server is listed")
{
    auto book = makeBook({ oldVersion });
    book.noteGranted("a", target, newVersion, 5s, start);
    CHECK(book.isRecordOutdated());
    CHECK(sourceOf(book, "of another instance") == StreamOrigin::Source::Unknown);
}

TEST_CASE("before the stored versions are read, no stream is taken for one of the only version")
{
    StreamOriginBook book;
    book.setServers({ makeServer(oldVersion) }, start);
    CHECK(sourceOf(book, "a") == StreamOrigin::Source::Unknown);
    REQUIRE(book.takeVersions({}, start));
    CHECK(sourceOf(book, "a") == StreamOrigin::Source::OnlyVersion);
}

TEST_CASE("a version that was dropped does not come back with a text that was read before")
{
    auto book = makeBook({ newVersion }, R"({"m":["v1","v2"]})");
    book.setRetention(1s, start);
    book.advance(start + 2s);
    REQUIRE(book.takeVersions(R"({"m":["v1","v2"]})", start + 2s));
    CHECK_FALSE(book.isMixed());
}

TEST_CASE("a request that is granted a server of another version is recorded with the new one")
{
    auto book = makeBook({ oldVersion, newVersion });
    CHECK_FALSE(book.noteGranted("a", target, oldVersion, 5s, start));
    auto first = book.changes();
    book.noteRecordStored(first);
    CHECK_FALSE(book.isRecordOutdated());
    CHECK(book.noteGranted("a", target, newVersion, 5s, start));
    CHECK(book.isRecordOutdated());
    CHECK_FALSE(book.isRecordStored(book.changes()));
    CHECK(book.findOwn("a", target, start)->version == newVersion);
}

// Guards against a restarted instance that overwrites the record of its earlier process.
TEST_CASE("the record of an earlier process is carried on")
{
    auto earlier = makeBook({ oldVersion, newVersion });
    earlier.noteGranted("a", target, oldVersion, 5s, start);
    auto book = makeBook({ oldVersion, newVersion });
    book.noteGranted("b", target, newVersion, 5s, start);
    REQUIRE(book.takeRecord(earlier.makeRecord(start), true, start));
    auto reader = makeBook({ oldVersion, newVersion });
    REQUIRE(reader.takeRecord(book.makeRecord(start), false, start));
    CHECK(reader.findRead("a", target, start).version == oldVersion);
    CHECK(reader.findRead("b", target, start).version == newVersion);
    // A record that was only read is not this instance's.
    CHECK(reader.makeRecord(start) == R"({"streams":[]})");
}

TEST_CASE("streams whose callers have given up are left out")
{
    auto book = makeBook({ oldVersion, newVersion });
    book.noteGranted("a", target, oldVersion, 1s, start);
    CHECK(book.makeRecord(start + 2s) == R"({"streams":[]})");
    CHECK(book.findOwn("a", target, start + 2s) == std::nullopt);
    CHECK(book.findRead("a", target, start + 2s) == StreamOrigin());
}

// Guards against a record that was read early, and is used although its instance has replaced it.
TEST_CASE("a record of another instance counts only as it was read last")
{
    auto writer = makeBook({ oldVersion, newVersion });
    writer.noteGranted("a", target, oldVersion, 5s, start);
    auto reader = makeBook({ oldVersion, newVersion });
    REQUIRE(reader.takeRecord(writer.makeRecord(start), false, start));
    CHECK(reader.findOwn("a", target, start) == std::nullopt);
    writer.noteGranted("a", target, newVersion, 5s, start);
    REQUIRE(reader.takeRecord(writer.makeRecord(start), false, start));
    CHECK(reader.findRead("a", target, start).version == newVersion);
}

TEST_CASE("a stream that began at another target does not go on at the only version of this one")
{
    auto book = makeBook({ oldVersion });
    book.noteGranted("a", TargetName("other"), oldVersion, 5s, start);
    CHECK(book.findOwn("a", target, start) == StreamOrigin());
    CHECK(book.findRead("a", target, start) == StreamOrigin());
}

// Guards against a version that is forgotten while streams of a longer deadline than the new one may be taken up.
TEST_CASE("a shorter retention takes effect after the longer one has passed")
{
    auto book = makeBook({ newVersion }, R"({"m":["v1"]})");
    book.setRetention(10s, start);
    book.setRetention(2s, start + 1s);
    book.advance(start + 5s);
    CHECK(book.isMixed());
    book.advance(start + 12s);
    CHECK_FALSE(book.isMixed());
}

TEST_CASE("a version counts as stored once the store's text has it")
{
    auto book = makeBook({ oldVersion, newVersion }, R"({"m":["v1"]})");
    CHECK(book.isVersionStored(target, oldVersion));
    CHECK_FALSE(book.isVersionStored(target, newVersion));
    book.noteVersionsStored(book.makeVersions());
    CHECK(book.isVersionStored(target, newVersion));
}

TEST_CASE("texts of the store that cannot be read are refused")
{
    auto book = makeBook({ oldVersion, newVersion });
    for (const auto* text : { "", "nonsense", "[]", R"({"streams":1})", R"({"streams":[["a","m","v1"]]})",
             R"({"streams":[["a","m","v1",-1]]})", R"({"streams":[["a","m",1,5]]})" }) {
        CHECK_FALSE(book.takeRecord(text, false, start));
    }
    for (const auto* text : { "nonsense", "[]", R"({"m":1})", R"({"m":[1]})" }) {
        CHECK_FALSE(book.takeVersions(text, start));
    }
}

} // namespace lagoonspoke
