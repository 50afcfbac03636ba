#include "dispatch/Dispatcher.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

namespace {

PlaceRequest makePlaceRequest(std::string id)
{
    PlaceRequest place;
    place.request = RequestId(std::move(id));
    place.remaining = std::chrono::seconds(1);
    return place;
}

EntryMessageReceived fromEntry(EntryMessage message)
{
    return { InstanceId("entry-1"), std::move(message) };
}

} // namespace

// Guards against granting more requests than a server has slots, and against leaking the slot of a finished request.
TEST_CASE("a slot is granted to one request at a time and reused after the request finished")
{
    auto dispatcher = Dispatcher::Make(DomainId("riga/m"));
    BackendServer server { BackendServerId("s1"), DataCentreId("a"), TargetName("m"), "127.0.0.1:1", 1 };
    dispatcher.handle(ServersChanged { { server } }, {});
    auto first = dispatcher.handle(fromEntry(makePlaceRequest("r1")), {});
    REQUIRE(first.size() == 1);
    REQUIRE(dispatcher.handle(fromEntry(makePlaceRequest("r2")), {}).empty());
    Progress done;
    done.request = RequestId("r1");
    done.grant = std::get<Grant>(std::get<SendToEntry>(first[0]).message).grant;
    done.finished = true;
    auto second = dispatcher.handle(fromEntry(done), {});
    REQUIRE(second.size() == 1);
    REQUIRE(std::get<Grant>(std::get<SendToEntry>(second[0]).message).request == RequestId("r2"));
}

} // namespace lagoonspoke
