#include "peer/async_call.h"

namespace foxtailturn {

std::atomic<int> &pendingPeerCalls()
{
    static std::atomic<int> count = 0;
    return count;
}

} // namespace foxtailturn
