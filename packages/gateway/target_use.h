#pragma once

// What a request counts for at the target that it was sent to, until the attempt ends.
//
//     TargetUse use(gateway, request);
//     use.begin(target, placement);
//     use.recordFirstBytes(isStream);   // of the answer
//     use.end();

#include <cstdint>
#include <string>

#include "gateway/admitted_request.h"
#include "gateway/placement.h"
#include "gateway/target_registry.h"

namespace foxtailturn::gateway {

class Gateway;

// Not thread-safe.
class TargetUse
{
public:
    // Both must outlive this object.
    TargetUse(Gateway &gateway, const AdmittedRequest &request);
    ~TargetUse() { end(); }
    TargetUse(const TargetUse &) = delete;
    TargetUse &operator=(const TargetUse &) = delete;

    // Counts the request at a target. Precondition: no use is under way.
    void begin(Target &target, PlacementRequest placement);

    // Records that the answer has begun: its prompt was read. Later calls do nothing.
    void recordFirstBytes(bool isStream);

    // Ends the use; does nothing if none is under way.
    void end();

    // Returns the target's instance; empty if no use is under way.
    [[nodiscard]] const std::string &instance() const { return instance_; }

    // Returns the target; null if it is gone.
    [[nodiscard]] Target *target() const;

private:
    void endPending(Target &target) const;
    [[nodiscard]] std::string adapter() const;

    Gateway &gateway_;
    const AdmittedRequest &request_;
    std::string instance_;
    PlacementRequest placement_;
    TimePoint sentAt_{};
    std::int64_t uncachedTokens_ = 0;
    bool wasOnlyPrefill_ = false; // no other prompt was known to be in prefill at the target
    bool hasFirstBytes_ = false;
};

} // namespace foxtailturn::gateway
