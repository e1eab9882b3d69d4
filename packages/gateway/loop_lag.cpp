#include "gateway/loop_lag.h"

namespace foxtailturn::gateway {

void LoopLag::beginTurn(TimePoint now)
{
    // Handlers that take long tell their start. One that has not done so was waited for.
    if (!hasStart_)
        (void)readySince(now);
    turnBegan_ = now;
    hasStart_ = false;
}

TimePoint LoopLag::readySince(TimePoint now)
{
    if (!hasStart_ && now - turnBegan_ >= kMinWait)
        idleAt_ = now;
    hasStart_ = true;
    return idleAt_;
}

} // namespace foxtailturn::gateway
