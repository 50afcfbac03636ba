#include "external/ObjectStoreClient.h"

#include "external/StoreHarnessTest.h"

namespace lagoonspoke {

using namespace std::chrono_literals;

// Guards against calls that mean another object, or none, because of a name in the key.
TEST_CASE("an object is found under any key")
{
    test::StoreHarness harness;
    auto client = harness.client();
    auto key
        = "kind/" + GENERATE(as<std::string> {}, "a&b", "a+b", "a#b", "a%b", "a%41", "a b", "a=b", "a?b", "a\r\nb");
    auto created = harness.run(client.create(key, "first"));
    REQUIRE(created);
    auto updated = harness.run(client.update(key, "second", *created));
    REQUIRE(updated);
    CHECK(harness.run(client.get(key))->value == "second");
    auto listed = harness.run(client.list(key));
    REQUIRE(listed);
    REQUIRE(listed->size() == 1);
    CHECK(listed->front().key == key);
    auto watched = harness.run(client.watch(key, *created, 100ms));
    REQUIRE(watched);
    REQUIRE(*watched);
    CHECK((*watched)->value == "second");
    CHECK(harness.run(client.remove(key, *updated)));
    CHECK(harness.run(client.get(key)).error().code == ErrorCode::NotFound);
}

} // namespace lagoonspoke
