#include "daemon/Evacuations.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

const DataCentreId a("a");
const DataCentreId b("b");
const MonotonicTime start(1h);

} // namespace

// Guards against an older list, as of a reader that was cut off, that ends an evacuation or begins it again.
TEST_CASE("the list of the highest revision holds")
{
    Evacuations evacuations;
    CHECK_FALSE(evacuations.isKnown());
    CHECK(evacuations.learn({ 5, {} }, start).empty());
    CHECK(evacuations.isKnown());
    CHECK(evacuations.learn({ 7, { a } }, start + 1s).begun == std::vector { a });
    CHECK(evacuations.learn({ 6, {} }, start + 2s).empty());
    CHECK(evacuations.learn({ 7, {} }, start + 2s).empty());
    CHECK(evacuations.since().at(a) == start + 1s);
    auto change = evacuations.learn({ 9, { b } }, start + 3s);
    CHECK(change.begun == std::vector { b });
    CHECK(change.ended == std::vector { a });
    CHECK(evacuations.learn({ 8, { a } }, start + 4s).empty());
}

TEST_CASE("servers of an evacuated data centre take no new requests until it is over")
{
    std::vector<BackendServer> servers(2);
    servers[0].dataCentre = a;
    servers[1].dataCentre = b;
    Evacuations evacuations;
    evacuations.learn({ 1, { a } }, start);
    evacuations.mark(servers);
    CHECK_FALSE(servers[0].isOpen());
    CHECK(servers[1].isOpen());
    evacuations.learn({ 2, {} }, start);
    evacuations.mark(servers);
    CHECK(servers[0].isOpen());
}

// Guards against instances that do not read the store and never learn that an evacuation began or ended.
TEST_CASE("peers learn the whole list from gossip")
{
    Evacuations reader;
    CHECK_FALSE(reader.makeRumour());
    reader.learn({ 3, { a, b } }, start);
    Evacuations listener;
    listener.learn(Evacuations::readRumour(*reader.makeRumour()).value(), start);
    CHECK(listener.list().dataCentres == std::set { a, b });
    CHECK(listener.list().revision == 3);
    reader.learn({ 4, {} }, start);
    CHECK(listener.learn(Evacuations::readRumour(*reader.makeRumour()).value(), start).ended.size() == 2);
    CHECK_FALSE(Evacuations::readRumour({ "floor/riga/m", 1, "a" }));
}

} // namespace lagoonspoke
