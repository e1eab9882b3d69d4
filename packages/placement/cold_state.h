#pragma once

// What an entry knows of the coldness of one target.
//
//     ColdState cold;
//     cold.presumeCold(now + coldTime, ColdReason::Started);
//     if (cold.isCold(now) && !cold.isClosed(now))
//         ...;                              // request a permit
//     cold.close(now + answer.retryAfter_); // refused
//
// A target that has started or come back bears few requests for some seconds. Nothing tells all
// entries of it at the same moment, so each holds a target for cold from the first sign on, until
// the latest end that any sign gives. A target that is unreachable is cold when it is back.

#include <algorithm>
#include <string_view>

#include "base/clock.h"

namespace foxtailturn::placement {

enum class ColdReason {
    Record, // its record in the store says so
    Started, // a new incarnation, or its record is back in the store
    Returned, // its sidecar saw it start or come back
    Unreachable, // no connection could be opened
    LinkLost, // to its sidecar
    Emptied, // its data centre was evacuated
};

// Returns the reason as logs name it. Thread-safe.
[[nodiscard]] std::string_view coldReasonName(ColdReason reason);

// Value type. Not thread-safe.
class ColdState
{
public:
    // Records that the target may be cold until then. An earlier time has no effect.
    void presumeCold(TimePoint until, ColdReason reason);
    [[nodiscard]] bool isCold(TimePoint now) const { return now < coldUntil_; }
    [[nodiscard]] TimePoint coldUntil() const { return coldUntil_; }
    [[nodiscard]] ColdReason reason() const { return reason_; }

    // An unreachable target gets nothing until it is seen again.
    void setUnreachable(bool isUnreachable) { isUnreachable_ = isUnreachable; }
    [[nodiscard]] bool isUnreachable() const { return isUnreachable_; }

    // Records that no permit will be granted before then.
    void close(TimePoint until) { closedUntil_ = until; }

    // Returns whether a cold target grants no permits now.
    [[nodiscard]] bool isClosed(TimePoint now) const { return isCold(now) && now < closedUntil_; }

    // Returns when the target can take the next request, as far as it is known: at the end of the
    // coldness for one that can't be asked.
    [[nodiscard]] TimePoint opensAt(bool canAsk) const
    {
        return canAsk ? std::min(closedUntil_, coldUntil_) : coldUntil_;
    }

    bool operator==(const ColdState &) const = default;

private:
    TimePoint coldUntil_{};
    TimePoint closedUntil_{};
    ColdReason reason_ = ColdReason::Record;
    bool isUnreachable_ = false;
};

} // namespace foxtailturn::placement
