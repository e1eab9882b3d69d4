#include "quota/quota_share.h"

#include <random>

#include <doctest/doctest.h>

namespace foxtailturn::quota {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

// Guards against a small share that refuses a large request forever, and against a debt that is
// not repaid by the refill.
TEST_CASE("a charge above the capacity needs a full bucket and leaves a debt")
{
    ManualClock clock;
    QuotaShare share(clock.now());
    share.setQuota({1'000, 1'000, true, 1}, clock.now());
    share.setUnits(QuotaShare::kTotalUnits / 2, clock.now());
    CHECK_FALSE(share.take(5'000, clock.now()));
    clock.advance(seconds(1));
    CHECK(share.take(5'000, clock.now()));
    CHECK_FALSE(share.take(1, clock.now()));
    clock.advance(seconds(8));
    CHECK_FALSE(share.take(1, clock.now()));
    clock.advance(seconds(2));
    CHECK(share.take(1, clock.now()));
}

// Guards against small requests that starve the large ones of the same workspace while its demand
// exceeds its rate.
TEST_CASE("large and small requests of a workspace over its rate are served alike")
{
    constexpr std::int64_t kSmall = 500;
    constexpr std::int64_t kLarge = 9'000;
    ManualClock clock;
    QuotaShare share(clock.now());
    share.setQuota({50'000, 50'000, true, 1}, clock.now());
    share.setUnits(QuotaShare::kTotalUnits, clock.now());
    share.setTolerance(27'500);
    std::mt19937 random(7);
    int asked[2] = {0, 0};
    int served[2] = {0, 0};
    for (int i = 0; i < 20'000; ++i) {
        clock.advance(milliseconds(50)); // the demand is about twice the rate
        const std::size_t kind = random() % 2;
        ++asked[kind];
        served[kind] += share.take(kind == 0 ? kSmall : kLarge, clock.now()) ? 1 : 0;
    }
    const double small = static_cast<double>(served[0]) / asked[0];
    const double large = static_cast<double>(served[1]) / asked[1];
    CHECK(large > small * 3 / 4);
    CHECK(large > 0.45); // about half of the demand is within the rate
}

// Guards against a retry time at which the request is refused again.
TEST_CASE("a charge is taken at the time that availableAt returned")
{
    ManualClock clock;
    QuotaShare share(clock.now());
    share.setQuota({1'000, 1'000, true, 1}, clock.now());
    share.setUnits(QuotaShare::kTotalUnits, clock.now());
    clock.advance(seconds(1));
    CHECK(share.take(900, clock.now()));
    CHECK_FALSE(share.take(500, clock.now()));
    const std::optional<TimePoint> at = share.availableAt(500, clock.now());
    REQUIRE(at);
    CHECK(*at == clock.now() + milliseconds(400));
    clock.advance(milliseconds(400));
    CHECK(share.take(500, clock.now()));
}

} // namespace foxtailturn::quota
