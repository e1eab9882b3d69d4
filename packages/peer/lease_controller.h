#pragma once

// Maintains this process's lease: creates its row, renews it in the table and through witnesses,
// and selects the witnesses.
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

// Selects up to kMaxWitnesses of the live peers, spread over data centres. Current witnesses that
// are still live are kept. The order of preference depends on the holder, so that no process
// becomes a witness of nearly all holders. Thread-safe.
[[nodiscard]] std::vector<std::string> chooseWitnesses(const std::string &holder,
                                                       const std::vector<Peer> &livePeers,
                                                       const std::vector<std::string> &current);

// Used by one controller thread.
class LeaseController
{
public:
    // Called with the highest configuration revision among a majority of the witnesses and the time
    // at which the contacts were sent. Must be thread-safe.
    using OnMajority = std::function<void(std::uint64_t revision, TimePoint askedAt)>;

    // All references must outlive the controller.
    LeaseController(std::string self, const Clock &clock, LeaseHolder &lease, PeerDirectory &peers,
                    OnMajority onMajority);

    // Sends contacts to the witnesses and creates or renews the row. Blocks for at most one call to
    // the table.
    void tick();

    // Releases the lease at a graceful shutdown.
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
    bool renewalFailed_ = false;
};

} // namespace foxtailturn
