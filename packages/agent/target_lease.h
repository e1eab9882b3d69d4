#pragma once

// The agent's authority to send orders to its target: its lease and its fencing number.
//
//     TargetLease lease("engine-1", self, clock, table, holder);
//     loop.every(1 s, [&] { lease.tick(); });     // until a fencing number is acquired
//     AgentScheduler scheduler(settings, clock, orders, lease);

#include <atomic>
#include <string>

#include "adapters/engine_orders.h"
#include "base/clock.h"
#include "lease/lease_holder.h"
#include "storage/platform.h"

namespace foxtailturn {

// Row `targets/<target>` holds the fencing number and the incarnation that acquired it. A new
// incarnation acquires the next number only after the lease of the previous one has ended. Even an
// engine that ignores fencing numbers therefore never has two agents that may send orders.
class TargetLease final : public LeaseView
{
public:
    // self is the id of this incarnation and lease its lease. clock, table and lease must outlive
    // this object.
    TargetLease(std::string target, std::string self, const Clock &clock, TableService &table,
                const LeaseHolder &lease);

    // Tries to acquire a fencing number if there is none. Called by one controller thread.
    void tick();

    [[nodiscard]] bool isHeld() const override;
    [[nodiscard]] FencingNumber fencingNumber() const override { return fencingNumber_; }

private:
    [[nodiscard]] Result<bool> hasLeaseEnded(const std::string &incarnation);
    [[nodiscard]] Result<void> acquireFencingNumber();

    std::string target_;
    std::string self_;
    const Clock *clock_;
    TableService *table_;
    const LeaseHolder *lease_;
    std::atomic<FencingNumber> fencingNumber_ = 0;
};

} // namespace foxtailturn
