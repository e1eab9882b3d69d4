#include "gateway/shutdown_schedule.h"

#include <algorithm>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

// The load balancer probes once a second and removes an entry after two failed probes.
constexpr Duration kBalancerDetectionTime = milliseconds(2700);
// From the end of the requests to the kill: the last answers leave the process.
constexpr Duration kMaxKillMargin = milliseconds(800);
constexpr int kKillMarginDivisor = 6; // part of a short grace

} // namespace

ShutdownSchedule::ShutdownSchedule(TimePoint begin, Duration grace)
    : acceptUntil_(begin + std::min(kBalancerDetectionTime, grace / 2))
    , cutAt_(begin + grace - std::min(kMaxKillMargin, grace / kKillMarginDivisor))
{
    releaseAt_ = std::max(acceptUntil_, cutAt_ - kReleaseTime);
}

} // namespace foxtailturn::gateway
