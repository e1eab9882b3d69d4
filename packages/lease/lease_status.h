#pragma once

// Tells whether this process still holds its lease.
//
//     if (!lease.isHeld())
//         return notRun(ErrorCode::LeaseExpired, "lease is not held");

namespace foxtailturn {

class LeaseStatus
{
public:
    virtual ~LeaseStatus() = default;

    // Returns whether the lease deadline is in the future. Call this immediately before each action
    // that the lease protects: the process may have been suspended since an earlier call.
    // Thread-safe.
    [[nodiscard]] virtual bool isHeld() const = 0;
};

} // namespace foxtailturn
