#pragma once

// Transfers token shares between entries and reclaims those of ended entries for the ledger.
//
//     ShareController shares(self, clock, lease, limiter, ledger, reclaimer, peers);
//     loop.every(kPollInterval, [&] { shares.exchange(); });
//     loop.every(1 s, [&] { shares.reconcile(); });

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "lease/lease_reclaimer.h"
#include "lease/witness_log.h"
#include "limiter/limiter.h"
#include "limiter/share_ledger.h"
#include "peer/peer_directory.h"

namespace foxtailturn {

// Sends fence requests to witnesses: to peers over the network, to this process's own witness log
// directly.
class PeerWitnessClient final : public WitnessClient
{
public:
    // All must outlive the client.
    PeerWitnessClient(const Clock &clock, PeerDirectory &peers, WitnessLog &own);

    std::vector<FenceAnswer> fence(const std::vector<FenceRequest> &requests,
                                   TimePoint deadline) override;

private:
    const Clock *clock_;
    PeerDirectory *peers_;
    WitnessLog *ownLog_;
};

// exchange() and reconcile() are called by one controller thread each; the rest is thread-safe.
class ShareController
{
public:
    // All references must outlive the controller.
    ShareController(std::string self, const Clock &clock, const LeaseStatus &lease,
                    Limiter &limiter, ShareLedger &ledger, LeaseReclaimer &reclaimer,
                    PeerDirectory &peers);

    // Sets the workspaces that have a limit. Thread-safe.
    void setWorkspaces(std::vector<std::string> workspaces);

    // Sends the pending share requests and transfers of all workspaces to peers.
    void exchange();

    // Reclaims the shares of ended holders, passes the live entries to the limiter and takes spare
    // units from the ledger. Blocks for calls to the table.
    void reconcile();

    // Returns whether peers had time to detect this entry after it joined the ledger. Before that,
    // they would not transfer tokens to it, and it would reject requests within the rate limit.
    // Thread-safe.
    [[nodiscard]] bool isKnownToPeers() const { return completedPasses_ >= kPassesUntilKnown; }

    // Sends the given share requests and transfers. Thread-safe.
    void send(const OutgoingMessages &shares);

    // Wakes waitForShare(); called when a share has arrived. Thread-safe.
    void shareArrived();

    // Blocks until a share arrives or until the given time. Thread-safe.
    void waitForShare(TimePoint until);

    // Transfers all shares to peers at a graceful shutdown. Starts no further attempt after the
    // deadline.
    void leave(TimePoint deadline);

private:
    // Peers read the leases in each call of reconcile(), at the same interval as this process. When
    // the third call here ends, each peer has completed two since this entry joined.
    static constexpr int kPassesUntilKnown = 3;

    void sendTransfer(const ShareTransfer &transfer);
    void sendRequest(const ShareRequest &request);
    void acceptReply(const std::string &peer, const ShareTransfer &transfer);
    // Enters this entry into the ledger rows of all workspaces and takes spare units. Returns
    // whether it is in all of them. Calls the ledger only for rows that do not contain this entry
    // or that have spare units.
    bool joinLedger(const std::map<std::string, LedgerRow> &rows);
    void setPeers(const LeaseSurvey &survey);
    // Settles the ended holders of the row and adds the reclaimed units to row.spareUnits_. Returns
    // whether no ended holder is left in the row.
    [[nodiscard]] bool settleEndedHolders(const std::string &workspace, LedgerRow &row,
                                          const LeaseSurvey &survey);
    void removeEndedLeases(const std::vector<std::string> &ended);
    [[nodiscard]] std::vector<NetReport> collectNetReports(const LedgerRow &row,
                                                           const NetRequest &request);
    [[nodiscard]] std::vector<std::string> workspaces() const;
    [[nodiscard]] TimePoint callDeadline() const;

    std::string self_;
    const Clock *clock_;
    const LeaseStatus *lease_;
    Limiter *limiter_;
    ShareLedger *ledger_;
    LeaseReclaimer *reclaimer_;
    PeerDirectory *peers_;
    mutable std::mutex mutex_; // guards workspaces_ and arrivalCount_
    std::condition_variable arrived_;
    std::vector<std::string> workspaces_;
    std::uint64_t arrivalCount_ = 0;
    std::atomic<int> completedPasses_ = 0; // calls of reconcile() in which joinLedger() succeeded
};

} // namespace foxtailturn
