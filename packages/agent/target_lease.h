#pragma once

// The agent's right to give orders to its target: its lease and its fencing number.
//
//     TargetLease lease("engine-1", self, clock, table, holder);
//     loop.every(1 s, [&] { lease.tick(); });     // until it has a number
//     AgentScheduler scheduler(settings, clock, orders, lease);

#include <atomic>
#include <string>

#include "adapters/engine_orders.h"
#include "base/clock.h"
#include "lease/lease_holder.h"
#include "storage/platform.h"

namespace foxtailturn {

// Row `targets/<target>` holds the number and the incarnation that took it. A new incarnation takes
// the next number once the lease of the one before has ended, so that an engine that ignores
// numbers never has two agents that may give orders.
class TargetLease final : public LeaseView
{
public:
    // clock, table and lease must outlive this object; lease is this incarnation's.
    TargetLease(std::string target, std::string self, const Clock &clock, TableService &table,
                const LeaseHolder &lease);

    // Tries to take a number while there is none. Called by one controller thread.
    void tick();

    [[nodiscard]] bool isHeld() const override;
    [[nodiscard]] FencingNumber fencingNumber() const override { return number_; }

private:
    [[nodiscard]] Result<bool> hasEnded(const std::string &incarnation);
    [[nodiscard]] Result<void> take();

    std::string target_;
    std::string self_;
    const Clock *clock_;
    TableService *table_;
    const LeaseHolder *lease_;
    std::atomic<FencingNumber> number_ = 0;
};

} // namespace foxtailturn
