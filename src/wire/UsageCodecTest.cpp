#include "wire/UsageCodec.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

TEST_CASE("Usage messages survive their wire form, and damaged ones are refused instead of read as figures")
{
    UsageFact fact { 28000001, 12, true, { { TeamId("a"), { 1, 2, 3 } }, { TeamId("b"), { 4, 5, 6 } } } };
    UsageMessage copy = UsageCopy { InstanceId("i~1"), 3, 12, 28000000, true, { fact, { 28000002, 13, false, {} } } };
    UsageMessage ack = UsageCopyAck { InstanceId("i~1"), 12 };
    CHECK(decodeUsageMessage(encodeUsageMessage(copy)).value() == copy);
    CHECK(decodeUsageMessage(encodeUsageMessage(ack)).value() == ack);
    UsageMessage seal = UsageSealCopy { 28000003, "window 28000003\nend\n" };
    CHECK(decodeUsageMessage(encodeUsageMessage(seal)).value() == seal);
    auto text = encodeUsageMessage(copy);
    CHECK_FALSE(decodeUsageMessage(text.substr(0, text.size() / 2)));
    CHECK_FALSE(decodeUsageMessage(""));
}

} // namespace lagoonspoke
