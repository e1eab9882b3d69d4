#include "quota/store_clock.h"

#include <limits>
#include <random>

#include <doctest/doctest.h>

namespace foxtailturn::quota {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};

} // namespace

// Guards against a term that seems to have begun earlier than it has, because answers take time.
TEST_CASE("an event that one entry dates and another reads never seems earlier")
{
    constexpr std::int64_t kStoreStartMs = 5'000'000; // at kStart
    std::mt19937 random(1);
    const auto upTo = [&random](int limit) { return milliseconds(random() % limit); };
    for (int i = 0; i < 1000; ++i) {
        const auto observed = [&](TimePoint processedAt) {
            StoreClock clock;
            clock.observe(kStoreStartMs
                              + std::chrono::floor<milliseconds>(processedAt - kStart).count(),
                          processedAt - upTo(1000), processedAt + upTo(1000));
            return clock;
        };
        const TimePoint event = kStart + milliseconds(60'000) + upTo(10'000);
        const StoreClock writer = observed(event - milliseconds(1000) - upTo(20'000));
        const StoreClock reader = observed(event + milliseconds(1000) + upTo(20'000));
        const std::optional<TimePoint> read = reader.latestLocal(writer.latest(event));
        REQUIRE(read);
        CHECK(*read >= event);
        CHECK(*read <= event + milliseconds(2001)); // both calls' time at most
    }
}

TEST_CASE("nothing is known without an observation, and nothing of times that can't be")
{
    StoreClock clock;
    CHECK(clock.latest(kStart) == 0);
    CHECK_FALSE(clock.latestLocal(1));
    clock.observe(0, kStart, kStart);
    CHECK(clock.latest(kStart) == 0);
    clock.observe(1000, kStart, kStart);
    CHECK(clock.latest(kStart + milliseconds(5)) == 1005);
    CHECK(clock.latestLocal(1) == kStart - milliseconds(999));
    for (const std::int64_t impossible :
         {std::int64_t{0}, std::int64_t{-5}, std::numeric_limits<std::int64_t>::max(),
          std::numeric_limits<std::int64_t>::min()})
        CHECK_FALSE(clock.latestLocal(impossible));
}

} // namespace foxtailturn::quota
