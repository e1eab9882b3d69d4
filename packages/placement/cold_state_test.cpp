#include "placement/cold_state.h"

#include <doctest/doctest.h>

namespace foxtailturn::placement {

using std::chrono::milliseconds;

TEST_CASE("a target is cold until the latest end that a sign gives")
{
    const TimePoint t{milliseconds(10'000)};
    ColdState cold;
    CHECK_FALSE(cold.isCold(t));
    cold.presumeCold(t + milliseconds(3000), ColdReason::Started);
    cold.presumeCold(t + milliseconds(900), ColdReason::Record); // the record lags
    CHECK(cold.isCold(t + milliseconds(2999)));
    CHECK_FALSE(cold.isCold(t + milliseconds(3000)));
    CHECK(cold.reason() == ColdReason::Started);
}

TEST_CASE("a refusal closes a target only while it is cold")
{
    const TimePoint t{milliseconds(10'000)};
    ColdState cold;
    cold.presumeCold(t + milliseconds(500), ColdReason::Returned);
    cold.close(t + milliseconds(800));
    CHECK(cold.isClosed(t));
    CHECK(cold.opensAt(true) == t + milliseconds(500));
    CHECK(cold.opensAt(false) == t + milliseconds(500));
    CHECK_FALSE(cold.isClosed(t + milliseconds(500)));
    cold.close(t + milliseconds(200));
    CHECK(cold.opensAt(true) == t + milliseconds(200));
    CHECK(cold.opensAt(false) == t + milliseconds(500));
}

} // namespace foxtailturn::placement
