#pragma once

// Whether this process may still act on its lease.
//
//     if (!lease.isHeld())
//         return notRun(ErrorCode::LeaseExpired, "lease is not held");

namespace foxtailturn {

class LeaseStatus
{
public:
    virtual ~LeaseStatus() = default;

    // Returns whether the lease deadline is still ahead. Ask immediately before each act that the
    // lease protects: the process may have been paused since the last answer. Thread-safe.
    [[nodiscard]] virtual bool isHeld() const = 0;
};

} // namespace foxtailturn
