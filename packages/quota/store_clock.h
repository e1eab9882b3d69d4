#pragma once

// What the answers of the store tell about its clock, in bounds that hold however long an answer
// was on its way.
//
//     StoreClock clock;
//     clock.observe(answer.nowMs_, sentAt, answeredAt);
//     row.renewedAtMs_ = clock.latest(now);                   // a time that others can use
//     std::optional<TimePoint> at = clock.latestLocal(row.renewedAtMs_);
//
// Both bounds err on the late side: an event that is dated with latest() at one entry, and read
// with latestLocal() at another, seems to have happened no earlier than it has.

#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace foxtailturn::quota {

// Not thread-safe.
class StoreClock
{
public:
    // Records that an answer showed storeMs, to a call that was sent and answered at these times. A
    // time that is not positive is ignored.
    void observe(std::int64_t storeMs, TimePoint sentAt, TimePoint answeredAt);

    // Returns the latest time that the store's clock may show now; 0 if nothing was observed.
    [[nodiscard]] std::int64_t latest(TimePoint now) const;

    // Returns the latest local time at which the store's clock may have shown storeMs; nullopt if
    // nothing was observed or if storeMs is not positive or too far from what was observed.
    [[nodiscard]] std::optional<TimePoint> latestLocal(std::int64_t storeMs) const;

private:
    std::int64_t storeMs_ = 0; // 0: nothing was observed
    TimePoint sentAt_{};
    TimePoint answeredAt_{};
};

} // namespace foxtailturn::quota
