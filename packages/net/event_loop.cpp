#include "net/event_loop.h"

namespace foxtailturn {

namespace {

// Returns whether a handler was run.
bool runOne(asio::io_context &context, Duration wait)
{
    return (wait == Duration::zero() ? context.poll_one() : context.run_one_for(wait)) > 0;
}

} // namespace

void runLoop(asio::io_context &context, DeferredWork &work, LoopMeter &meter)
{
    bool isIdle = false; // nothing was ready in the turn before
    while (!context.stopped()) {
        const bool isBehind = meter.beginTurn();
        Duration wait = LoopLag::kMaxWait;
        if (isIdle)
            meter.beginWait();
        else if (isBehind || work.isWaiting())
            wait = Duration::zero();
        else // a poll before each wait would cost a system call for each wake-up
            wait = LoopLag::kPollInterval;
        isIdle = !runOne(context, wait);
        if (!isIdle) {
            meter.handlerRan();
            work.runShare();
            continue;
        }
        meter.nothingReady();
        if (work.isWaiting()) {
            work.runSlice();
            isIdle = false;
        }
    }
}

} // namespace foxtailturn
