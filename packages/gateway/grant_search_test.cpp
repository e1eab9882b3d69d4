#include "gateway/grant_search.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

using std::chrono::seconds;

Error errorOf(ErrorCode code, std::optional<TimePoint> retryAt)
{
    return Result<void>(notRun(code, "test", retryAt)).error();
}

} // namespace

// Guards against an owner that is asked twice or not at all, and against load on one owner only.
TEST_CASE("each owner is asked once, beginning with the given one")
{
    GrantSearch search({"a", "b", "c"}, 4);
    CHECK(search.next() == "b");
    CHECK(search.next() == "c");
    CHECK(search.next() == "a");
    CHECK_FALSE(search.next());
    CHECK_FALSE(GrantSearch({}, 3).next());
}

// Guards against a caller that is told that its workspace is over its rate when nobody could tell,
// and against a retry later than necessary.
TEST_CASE("the failure tells whether the workspace is over its rate, and the earliest retry")
{
    ManualClock clock;
    const TimePoint now = clock.now();
    GrantSearch unanswered({"a", "b"}, 0);
    unanswered.onRefused(errorOf(ErrorCode::LeaseExpired, now + seconds(9)));
    REQUIRE_FALSE(unanswered.failure(now));
    CHECK(unanswered.failure(now).error().code_ == ErrorCode::LeaseExpired);
    CHECK(unanswered.failure(now).error().retryAt_ < now + seconds(1));
    GrantSearch refused({"a", "b", "c"}, 0);
    refused.onRefused(errorOf(ErrorCode::RateLimited, now + seconds(3)));
    refused.onRefused(errorOf(ErrorCode::LeaseExpired, now + seconds(1)));
    refused.onRefused(errorOf(ErrorCode::RateLimited, now + seconds(2)));
    REQUIRE_FALSE(refused.failure(now));
    CHECK(refused.failure(now).error().code_ == ErrorCode::RateLimited);
    CHECK(refused.failure(now).error().retryAt_ == now + seconds(2));
}

} // namespace foxtailturn::gateway
