#include "placement/engine_watch.h"

#include <algorithm>
#include <utility>

namespace foxtailturn::placement {

bool EngineWatch::onReport(std::int64_t startTimeMs, Duration age, TimePoint now)
{
    const std::optional<TimePoint> downSince = std::exchange(downSince_, std::nullopt);
    const bool isFirst = !upSince_;
    const bool isOther = startTimeMs != startTimeMs_;
    startTimeMs_ = startTimeMs;
    if (isFirst && !downSince)
        upSince_ = now - std::max(age, Duration::zero());
    else if (isFirst || isOther || (downSince && now - *downSince >= kMinOutage))
        upSince_ = now;
    return isFirst || isOther || downSince;
}

bool EngineWatch::onFailure(TimePoint now)
{
    if (downSince_)
        return false;
    downSince_ = now;
    return true;
}

EngineState EngineWatch::state(TimePoint now) const
{
    if (!isReachable())
        return {false, startTimeMs_, Duration::zero()};
    return {true, startTimeMs_, now - *upSince_};
}

} // namespace foxtailturn::placement
