#pragma once

// Admission to one target: a suspect runs with the target to itself. The agent beside the target
// has one gate.
//
//     if (const auto entered = gate.enter(); !entered) return entered.error();  // not_run
//     ... run ...
//     gate.leave();
//
//     Result<bool> alone = gate.enterAlone(attemptId, reserveUntil);
//     // false: others are still running; ask again until true. Then run and leave().

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

    // Admits an ordinary request. Error: Overloaded (NotRun) while a suspect runs or waits; the
    // entry tries another target. Thread-safe.
    [[nodiscard]] Result<void> enter();

    // Reserves the target for a suspect, so that no request enters after it. Returns true once it
    // is admitted, false while others still run. The reservation ends at reserveUntil unless
    // renewed by another call. Error: Overloaded (NotRun) if another suspect has reserved the
    // target. Thread-safe.
    [[nodiscard]] Result<bool> enterAlone(const std::string &attemptId, TimePoint reserveUntil);

    // Gives up a reservation that was not admitted. Thread-safe.
    void cancel(const std::string &attemptId);

    // Ends an admitted request of either kind. Precondition: one call per admission. Thread-safe.
    void leave();

    // Forgets all admissions, after the target crashed and its requests were ended; leave() must
    // not be called for them. Thread-safe.
    void reset();

private:
    [[nodiscard]] bool isReserved() const;

    const Clock &clock_;
    mutable std::mutex mutex_;
    int running_ = 0;
    bool isAlone_ = false;
    std::string reservedBy_;
    TimePoint reservedUntil_;
};

} // namespace foxtailturn
