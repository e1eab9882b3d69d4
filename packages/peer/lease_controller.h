#pragma once

// Keeps this process's lease: creates the row, renews it in the table and through witnesses, and
// chooses the witnesses.
//
//     LeaseController controller(self, dataCentre, clock, lease, peers);
//     loop.every(kLeaseRenewal, [&] { controller.tick(); });

#include <string>
#include <vector>

#include "base/clock.h"
#include "lease/lease_holder.h"
#include "peer/peer_directory.h"

namespace foxtailturn {

// Chooses up to kMaxWitnesses of the live peers, spread over data centres, keeping current ones
// that are still live. Thread-safe.
[[nodiscard]] std::vector<std::string> chooseWitnesses(const std::vector<Peer> &livePeers,
                                                       const std::vector<std::string> &current);

// Used by one controller thread.
class LeaseController
{
public:
    // All references must outlive the controller.
    LeaseController(const Clock &clock, LeaseHolder &lease, PeerDirectory &peers);

    // Sends contacts to the witnesses and renews the row. Blocks for one table call at most.
    void tick();

    // Gives the lease up at a graceful shutdown.
    void release();

private:
    void sendContacts();
    void updateWitnesses();

    const Clock *clock_;
    LeaseHolder *lease_;
    PeerDirectory *peers_;
    std::vector<std::string> witnesses_;
    bool acquired_ = false;
    bool storeFailed_ = false;
};

} // namespace foxtailturn
