#include "gateway/reconnect_backoff.h"

#include <algorithm>
#include <vector>

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

TEST_CASE("waiting times double up to a limit and start again after a reset")
{
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        CAPTURE(seed);
        ReconnectBackoff backoff(seed);
        for (int round = 0; round < 2; ++round) {
            for (const int doublings : {0, 1, 2, 3, 4, 4, 4}) {
                const Duration wait = backoff.next();
                const Duration mean = ReconnectBackoff::kBase * (1 << doublings);
                CHECK(wait >= mean / 2);
                CHECK(wait <= mean * 3 / 2);
            }
            backoff.reset();
        }
    }
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
            times[i] += links[i].next();
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
