#pragma once

// Admission control of one target: ordinary requests run concurrently, a suspect (see quarantine.h)
// runs exclusively. The target's agent owns one gate.
//
//     if (const auto entered = gate.enter(); !entered) return entered.error();  // not_run
//     ... run ...
//     gate.leave();
//
//     Result<bool> alone = gate.enterAlone(attemptId, reserveUntil);
//     // false: other requests are still running; call again until true. Then run and leave().

#include <mutex>
#include <string>

#include "base/clock.h"
#include "base/error.h"

namespace foxtailturn {

// Thread-safe.
class IsolationGate
{
public:
    // The clock must outlive the gate.
    explicit IsolationGate(const Clock &clock);

    // Admits an ordinary request. Error: Overloaded (NotRun) while a suspect runs or has reserved
    // the target; the entry then tries another target. Thread-safe.
    [[nodiscard]] Result<void> enter();

    // Reserves the target for a suspect: no other request is admitted while the reservation holds.
    // Returns true once the suspect is admitted, false while other requests still run. The
    // reservation expires at reserveUntil unless another call renews it. Error: Overloaded (NotRun)
    // if another suspect runs or has reserved the target. Thread-safe.
    [[nodiscard]] Result<bool> enterAlone(const std::string &attemptId, TimePoint reserveUntil);

    // Releases the reservation of an attempt that was not admitted. Thread-safe.
    void cancel(const std::string &attemptId);

    // Ends an admitted request of either kind. Precondition: one call per admission. Thread-safe.
    void leave();

    // Clears all admissions and the reservation after the target has crashed and its requests have
    // failed; leave() must not be called for those requests. Thread-safe.
    void reset();

private:
    [[nodiscard]] bool isReserved() const;

    const Clock &clock_;
    mutable std::mutex mutex_;
    int running_ = 0;
    bool isExclusive_ = false;
    std::string reservedBy_;
    TimePoint reservedUntil_;
};

} // namespace foxtailturn
