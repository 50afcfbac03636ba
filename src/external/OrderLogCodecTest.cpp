#include "external/OrderLogCodec.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

TEST_CASE("Every kind of order intent survives its stored form")
{
    BackendServerId server("s1");
    OrderLogRecord record { 9,
        { { "dc/5", StartServer { TargetName("m"), true } }, { "dc/6", StopServer { server } },
            { "dc/7", LoadModel { server, TargetName("m"), "2" } }, { "dc/8", LoadAdapter { server, "x" } },
            { "dc/9", ChangeRole { server, "prefill" } } } };
    CHECK(decodeOrderLog(encodeOrderLog(record)).value() == record);
    CHECK_FALSE(decodeOrderLog(R"({"last": 1, "open": [{"id": "dc/1", "action": "explode", "server": "s"}]})"));
}

} // namespace lagoonspoke
