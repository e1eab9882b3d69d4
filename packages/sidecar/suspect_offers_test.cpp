#include "sidecar/suspect_offers.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

// Guards against entries of earlier versions that never get the records, and against others that
// get all of them although they have asked for what they lack.
TEST_CASE("entries that don't answer an offer in time get all records once")
{
    const TimePoint start = TimePoint(std::chrono::hours(1));
    const TimePoint late = start + SuspectOffers::kAnswerTimeout;
    SuspectOffers offers;
    offers.add(1, start);
    offers.add(2, start);
    offers.add(3, start);
    offers.add(4, late);
    CHECK(offers.takeUnanswered(late - Duration(1)).empty());
    offers.remove(2);
    CHECK(offers.takeUnanswered(late) == std::vector{1, 3});
    CHECK(offers.takeUnanswered(late).empty());
    CHECK(offers.takeUnanswered(late + SuspectOffers::kAnswerTimeout) == std::vector{4});
}

} // namespace foxtailturn::gateway
