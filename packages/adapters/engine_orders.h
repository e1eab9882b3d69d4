#pragma once

// Interfaces that the adapter scheduler depends on: orders to the engine and the agent's lease.
// The agent implements both; tests and benches use fakes.

#include <cstdint>
#include <vector>

#include "adapters/adapter_id.h"
#include "base/error.h"

namespace foxtailturn {

// Grows with each incarnation of a target's agent (table row targets/<target>).
using FencingNumber = std::uint64_t;

// One item of the list of loaded adapters that the engine reports.
struct EngineAdapter
{
    AdapterId adapter_;
    int running_ = 0; // requests that the engine runs with it now

    bool operator==(const EngineAdapter &) const = default;
};

// Orders to the engine beside the agent. Calls block until done or until the deadline; the caller
// holds no lock. Implementations are thread-safe.
//
// Errors: NotRun when the order certainly had no effect; OutcomeUnknown when it may have taken
// effect or may still take effect, in which case list() shows the outcome; StaleFencingNumber when
// the engine has seen a larger number.
class EngineOrders
{
public:
    virtual ~EngineOrders() = default;

    // Loads an adapter into a free slot. Thread-safe.
    [[nodiscard]] virtual Result<void> load(const AdapterId &adapter, FencingNumber fencing,
                                            TimePoint deadline) = 0;

    // Removes an adapter from its slot. Thread-safe.
    [[nodiscard]] virtual Result<void> unload(const AdapterId &adapter, FencingNumber fencing,
                                              TimePoint deadline) = 0;

    // Returns all loaded adapters as the engine sees them now. Thread-safe.
    [[nodiscard]] virtual Result<std::vector<EngineAdapter>> list(TimePoint deadline) = 0;
};

// The agent's lease on its target. Both calls return at once, without I/O. Implementations are
// thread-safe.
class LeaseView
{
public:
    virtual ~LeaseView() = default;

    // Returns whether the lease's stored deadline is still ahead. Thread-safe.
    [[nodiscard]] virtual bool isHeld() const = 0;

    // Returns the fencing number of this incarnation; 0 before the first lease. Thread-safe.
    [[nodiscard]] virtual FencingNumber fencingNumber() const = 0;
};

} // namespace foxtailturn
