#include "admission/send_delay.h"

#include <algorithm>

namespace foxtailturn::admission {

namespace {

using std::chrono::milliseconds;

constexpr int kMaxRank = 2; // beyond, ranks are treated alike
constexpr Duration kDelayPerRank = milliseconds(30);
constexpr Duration kMaxDelayBySize = milliseconds(20);
constexpr int kReadTimePerDelay = 10;
// The time in which entries get the report differs by this much, and shorter prompts hardly hold
// up others.
constexpr Duration kMinDelay = milliseconds(5);

} // namespace

Duration sendDelay(int rank, Duration readTime)
{
    const Duration bySize =
        std::clamp<Duration>(readTime / kReadTimePerDelay, Duration::zero(), kMaxDelayBySize);
    const Duration delay = kDelayPerRank * std::clamp(rank, 0, kMaxRank) + bySize;
    return delay < kMinDelay ? Duration::zero() : delay;
}

} // namespace foxtailturn::admission
