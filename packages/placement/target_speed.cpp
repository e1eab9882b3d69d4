#include "placement/target_speed.h"

#include <algorithm>

namespace foxtailturn::placement {

SpeedScale::SpeedScale(std::vector<Duration> stepTimes)
{
    std::erase(stepTimes, Duration::zero());
    if (stepTimes.size() < kMinTargets)
        return;
    const auto middle = stepTimes.begin() + static_cast<std::ptrdiff_t>(stepTimes.size() / 2);
    std::nth_element(stepTimes.begin(), middle, stepTimes.end());
    typical_ = *middle;
}

double SpeedScale::slownessOf(const TargetSpeed &speed) const
{
    if (typical_ == Duration::zero() || speed.stepTime_ == Duration::zero())
        return 1;
    const double ratio = std::chrono::duration<double>(speed.stepTime_) / typical_;
    if (ratio < kDeadBand && ratio * kDeadBand > 1)
        return 1;
    return std::clamp(ratio, 1 / kMaxSlowness, kMaxSlowness);
}

Duration SpeedScale::timeAt(const TargetSpeed &speed, Duration work) const
{
    const double slowness = slownessOf(speed);
    const Duration time =
        slowness == 1 ? work : std::chrono::duration_cast<Duration>(work * slowness);
    if (!speed.isStalled_)
        return time;
    return std::min(std::chrono::duration_cast<Duration>(time * kStallSlowness), time + kStallLeft);
}

} // namespace foxtailturn::placement
