#include "base/clock.h"

#include <ctime>

namespace foxtailturn {

TimePoint SystemClock::now() const
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    const auto whole = std::chrono::seconds(value.tv_sec);
    const auto rest = std::chrono::nanoseconds(value.tv_nsec);
    return TimePoint(whole + std::chrono::duration_cast<Duration>(rest));
}

} // namespace foxtailturn
