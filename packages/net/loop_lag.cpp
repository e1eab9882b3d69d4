#include "net/loop_lag.h"

namespace foxtailturn {

void LoopLag::beginTurn(TimePoint now)
{
    turnBegan_ = now;
    isWaiting_ = false;
}

TimePoint LoopLag::readySince(TimePoint now)
{
    if (isWaiting_ && now - turnBegan_ >= kMinWait)
        idleAt_ = now;
    isWaiting_ = false;
    return idleAt_;
}

} // namespace foxtailturn
