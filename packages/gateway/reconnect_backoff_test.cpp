#include "gateway/reconnect_backoff.h"

#include <algorithm>
#include <vector>

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

} // namespace

TEST_CASE("waiting times double up to a limit and start again after a stable connection")
{
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        CAPTURE(seed);
        ReconnectBackoff backoff(seed);
        TimePoint now = kStart;
        for (int round = 0; round < 2; ++round) {
            for (const int doublings : {0, 1, 2, 3, 4, 4, 4}) {
                const Duration wait = backoff.next(now);
                const Duration mean = ReconnectBackoff::kBase * (1 << doublings);
                CHECK(wait >= mean / 2);
                CHECK(wait <= mean * 3 / 2);
            }
            backoff.recordConnected(now);
            now += ReconnectBackoff::kStableTime;
        }
    }
}

// Guards against a slow entry whose links are cut as it reads late: it reconnected after about
// 100 ms each time, and got a full report and an offer of suspects with each connection.
TEST_CASE("a link that is lost soon after each connection waits longer each time")
{
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        CAPTURE(seed);
        ReconnectBackoff backoff(seed);
        TimePoint now = kStart;
        for (const int doublings : {0, 1, 2, 3, 4, 4}) {
            backoff.recordConnected(now);
            now += ReconnectBackoff::kStableTime - Duration(1);
            CHECK(backoff.next(now) >= ReconnectBackoff::kBase * (1 << doublings) / 2);
        }
        backoff.recordConnected(now);
        now += ReconnectBackoff::kStableTime;
        CHECK(backoff.next(now) <= ReconnectBackoff::kBase * 3 / 2);
    }
}

// Guards against a peer that is away for long while its one connection is lost again.
TEST_CASE("failed attempts before a connection don't lengthen the wait after it")
{
    ReconnectBackoff backoff(1);
    for (int i = 0; i < 10; ++i)
        (void)backoff.next(kStart);
    backoff.recordConnected(kStart);
    CHECK(backoff.next(kStart + Duration(1)) <= ReconnectBackoff::kBase * 3 / 2);
}

// Guards against an entry that spends all its time on links that come back in the same moment:
// without jitter all 120 attempts of each round fell together.
TEST_CASE("links that were lost together connect at different times")
{
    constexpr int kLinks = 120;
    constexpr Duration kWindow = std::chrono::milliseconds(10);
    std::vector<ReconnectBackoff> links;
    for (std::uint64_t seed = 0; seed < kLinks; ++seed)
        links.emplace_back(seed * 7919);
    std::vector<Duration> times(kLinks);
    for (int round = 0; round < 4; ++round) {
        for (int i = 0; i < kLinks; ++i)
            times[i] += links[i].next(kStart);
        std::sort(times.begin(), times.end());
        std::ptrdiff_t most = 0;
        for (auto first = times.begin(); first != times.end(); ++first) {
            const auto last = std::upper_bound(first, times.end(), *first + kWindow);
            most = std::max(most, last - first);
        }
        CAPTURE(round);
        CHECK(most <= kLinks / 4);
    }
}

} // namespace foxtailturn::gateway
