#include "claims/claim_limits.h"

#include <thread>

namespace foxtailturn {

void BlockingWaiter::waitUntil(TimePoint time)
{
    for (TimePoint now = clock_.now(); now < time; now = clock_.now())
        std::this_thread::sleep_for(time - now);
}

} // namespace foxtailturn
