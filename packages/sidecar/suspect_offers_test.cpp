#include "sidecar/suspect_offers.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

AgentMessage messageOf(std::string encoded)
{
    encoded.pop_back(); // the line feed
    return decodeAgentMessage(encoded);
}

} // namespace

// Guards against entries of earlier versions that never get the records, and against others that
// get all of them although they have asked for what they lack.
TEST_CASE("entries that say nothing after an offer get all records once")
{
    const TimePoint late = kStart + SuspectOffers::kSilenceTimeout;
    SuspectOffers offers;
    offers.add(1, kStart);
    offers.add(2, kStart);
    offers.add(3, kStart);
    offers.add(4, late);
    CHECK(offers.takeSilent(late - Duration(1)).empty());
    offers.remove(2);
    CHECK(offers.takeSilent(late) == std::vector{1, 3});
    CHECK(offers.takeSilent(late).empty());
    CHECK(offers.takeSilent(late + SuspectOffers::kSilenceTimeout) == std::vector{4});
}

// Guards against a slow entry that is taken for one of an earlier version.
TEST_CASE("the first message of an entry tells whether it answers offers")
{
    struct Case
    {
        const char *name_;
        std::string first_;
        bool isEarlier_;
    };
    const Case cases[] = {
        {"a request", encode(SuspectRequest{}), false},
        {"a request with digests", encode(SuspectRequest{{7}}), false},
        {"use of an adapter", encode(UseNotice{"m/a", true}), true},
        {"a load request", encode(LoadRequest{"m/a", 1, "i", 4}), true},
        {"records", encode(SuspectNotice{{{"f", {{"engine-1@1", {}}}}}}), true},
        {"not known", "{}\n", true},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        SuspectOffers offers;
        offers.add(1, kStart);
        CHECK(offers.receive(1, messageOf(c.first_)) == c.isEarlier_);
        CHECK_FALSE(offers.receive(1, messageOf(encode(UseNotice{"m/a", true}))));
        CHECK(offers.takeSilent(kStart + SuspectOffers::kSilenceTimeout).empty());
    }
}

} // namespace foxtailturn::gateway
