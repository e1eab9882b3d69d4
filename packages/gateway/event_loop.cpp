#include "gateway/event_loop.h"

namespace foxtailturn::gateway {

void runLoop(asio::io_context &context, DeferredWork &work, LoopMeter &meter)
{
    while (!context.stopped()) {
        // A poll before each wait would cost a system call for each wake-up.
        const bool polls = meter.beginTurn() || work.isWaiting();
        if (polls && context.poll_one() > 0) {
            work.runShare();
            continue;
        }
        if (polls)
            meter.nothingReady();
        if (work.isWaiting())
            work.runSlice();
        else
            context.run_one();
    }
}

} // namespace foxtailturn::gateway
