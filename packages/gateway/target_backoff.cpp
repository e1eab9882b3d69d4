#include "gateway/target_backoff.h"

#include <algorithm>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kInitialAvoidance = milliseconds(50);
constexpr Duration kMaxAvoidance = milliseconds(1000);
constexpr int kMaxDoublings = 5;
// Entries return to a target over this part of the time for which it was closed.
constexpr double kReturnSpread = 0.25;
constexpr Duration kMaxReturnSpread = milliseconds(1000);
constexpr int kUnlimitedFrom = 32; // requests at a time

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

void TargetBackoff::recordRejection(TimePoint now, std::optional<Duration> retryAfter,
                                    double jitter)
{
    const int doublings = std::min(rejections_++, kMaxDoublings);
    const Duration avoidance = std::min(kInitialAvoidance * (1 << doublings), kMaxAvoidance);
    avoidedUntil_ = now + scaled(avoidance, 1 + jitter);
    limit_ = 1;
    if (!retryAfter || *retryAfter <= Duration::zero())
        return;
    const Duration spread = std::min(scaled(*retryAfter, kReturnSpread), kMaxReturnSpread);
    closedUntil_ = std::max(closedUntil_, now + *retryAfter + scaled(spread, jitter));
    avoidedUntil_ = std::max(avoidedUntil_, closedUntil_);
}

void TargetBackoff::recordAcceptance()
{
    rejections_ = 0;
    avoidedUntil_ = TimePoint{};
    limit_ = limit_ >= kUnlimitedFrom ? kNoLimit : 2 * limit_;
}

} // namespace foxtailturn::gateway
