#pragma once

// Moves token shares between entries and returns those of ended entries to the ledger.
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

// Asks witnesses to fence holders: others over the network, this process's own log directly.
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
    WitnessLog *own_;
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

    // Sends what is due to peers.
    void exchange();

    // Settles ended holders, tells the limiter which entries are live and takes spare units; blocks
    // for table calls.
    void reconcile();

    // Returns whether peers had time to learn of this entry after it joined the ledger. Before that
    // they would not give it tokens, and it would refuse requests inside the rate. Thread-safe.
    [[nodiscard]] bool isKnownToPeers() const { return rounds_ >= kRoundsUntilKnown; }

    // Sends what is due for one workspace. Thread-safe.
    void send(const OutgoingShares &shares);

    // Called when a share has arrived; wakes waitForShare(). Thread-safe.
    void shareArrived();

    // Waits until a share arrives or until the time. Thread-safe.
    void waitForShare(TimePoint until);

    // Gives all shares to peers at a graceful shutdown; returns at the deadline at the latest.
    void leave(TimePoint deadline);

private:
    // Peers look at the leases once per round; the third round here ends after their next two.
    static constexpr int kRoundsUntilKnown = 3;

    void sendTransfer(const ShareTransfer &transfer);
    void sendRequest(const ShareRequest &request);
    void acceptReply(const std::string &peer, const ShareTransfer &transfer);
    // Returns whether this entry is in the ledger of all workspaces. Reads only the rows that it is
    // not in, or that have spare units.
    bool join(const std::map<std::string, LedgerRow> &rows);
    void setPeers(const LeaseSurvey &survey);
    // Returns whether no ended holder is left in the row; adds reclaimed units to row.spareUnits_.
    [[nodiscard]] bool settle(const std::string &workspace, LedgerRow &row,
                              const LeaseSurvey &survey);
    void forget(const std::vector<std::string> &ended);
    [[nodiscard]] std::vector<NetReport> collectNets(const LedgerRow &row,
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
    mutable std::mutex mutex_; // guards workspaces_ and arrivals_
    std::condition_variable arrived_;
    std::vector<std::string> workspaces_;
    std::uint64_t arrivals_ = 0;
    std::atomic<int> rounds_ = 0; // complete rounds of reconcile()
};

} // namespace foxtailturn
