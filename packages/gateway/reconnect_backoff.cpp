#include "gateway/reconnect_backoff.h"

#include <algorithm>

namespace foxtailturn::gateway {

Duration ReconnectBackoff::next(TimePoint now)
{
    if (connectedAt_) {
        if (now - *connectedAt_ >= kStableTime)
            lostLinks_ = 0;
        failures_ = lostLinks_++;
        connectedAt_.reset();
    }
    const int doublings = std::min(failures_, kMaxDoublings);
    ++failures_;
    const Duration mean = kBase * (1 << doublings);
    return Duration(std::uniform_int_distribution<Duration::rep>(mean.count() / 2,
                                                                 mean.count() * 3 / 2)(random_));
}

} // namespace foxtailturn::gateway
