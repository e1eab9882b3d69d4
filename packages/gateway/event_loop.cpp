#include "gateway/event_loop.h"

namespace foxtailturn::gateway {

void runLoop(asio::io_context &context, DeferredWork &work)
{
    while (!context.stopped()) {
        // Without deferred work there is no poll before the wait, which would cost a system call
        // for each wake-up.
        if (!work.isWaiting())
            context.run_one();
        else if (context.poll_one() == 0)
            work.runSlice();
        else
            work.runShare();
    }
}

} // namespace foxtailturn::gateway
