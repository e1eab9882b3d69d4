#pragma once

// Keeps this process's lease: creates the row, renews it in the table and through witnesses, and
// chooses the witnesses.
//
//     LeaseController controller(self, clock, lease, peers, onMajority);
//     loop.every(kLeaseRenewal, [&] { controller.tick(); });

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "lease/lease_holder.h"
#include "peer/peer_directory.h"

namespace foxtailturn {

// Chooses up to kMaxWitnesses of the live peers for the holder, spread over data centres, keeping
// current ones that are still live. Each holder prefers others, so that no process is a witness of
// nearly all. Thread-safe.
[[nodiscard]] std::vector<std::string> chooseWitnesses(const std::string &holder,
                                                       const std::vector<Peer> &livePeers,
                                                       const std::vector<std::string> &current);

// Used by one controller thread.
class LeaseController
{
public:
    // Called with the highest configuration revision among a majority of the witnesses and the time
    // at which they were asked. Thread-safe.
    using OnMajority = std::function<void(std::uint64_t revision, TimePoint askedAt)>;

    // All references must outlive the controller.
    LeaseController(std::string self, const Clock &clock, LeaseHolder &lease, PeerDirectory &peers,
                    OnMajority onMajority);

    // Sends contacts to the witnesses and renews the row. Blocks for one table call at most.
    void tick();

    // Gives the lease up at a graceful shutdown.
    void release();

private:
    void sendContacts();
    void updateWitnesses();

    std::string self_;
    const Clock *clock_;
    LeaseHolder *lease_;
    PeerDirectory *peers_;
    OnMajority onMajority_;
    std::vector<std::string> witnesses_;
    bool acquired_ = false;
    bool storeFailed_ = false;
};

} // namespace foxtailturn
