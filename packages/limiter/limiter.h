#pragma once

// Fleet-wide token rate and burst of each workspace, enforced by movable shares of 1,000,000 units.
//
//     Limiter limiter(incarnation, clock, leaseHolder);
//     limiter.setLimit("acme", {.rate_ = 10'000, .burst_ = 40'000});  // from the configuration
//     limiter.onGrant("acme", *ledger.take("acme", incarnation, leaseHolder, deadline));
//     limiter.setPeers(otherEntries);
//
//     const TimePoint waitUntil = clock.now() + kPeerWait;
//     Result<Reservation> admitted = limiter.reserve("acme", upperBound, Attempt::First);
//     while (!admitted && admitted.error().code_ == ErrorCode::RateLimited
//            && clock.now() < waitUntil) {
//         send(limiter.poll("acme"));   // requests to peers, each to its receiver_
//         ...                           // wait for a ShareTransfer, at most a few milliseconds
//         admitted = limiter.reserve("acme", upperBound, Attempt::Repeated);
//     }
//     limiter.settle(*admitted, tokensUsed);
//
// A timer calls pollAll() every kPollInterval and sends the result. Received messages go to
// onRequest(), onTransfer(), onAck() and onNetRequest(); their results go back to the sender.
// Messages may be lost, repeated, late or out of order.
//
// Graceful shutdown: call leaveAll() and send its result until isDrained() or a deadline, then
// release the lease; the ledger returns what could not be moved.

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "limiter/token_share.h"

namespace foxtailturn {

// How long a request may wait for tokens of peers before it is refused.
constexpr Duration kPeerWait = std::chrono::milliseconds(250);
// Interval at which pollAll() is to be called.
constexpr Duration kPollInterval = std::chrono::milliseconds(10);

// Thread-safe. No function blocks on I/O.
class Limiter
{
public:
    // self is this incarnation's id. clock and lease must outlive the limiter.
    Limiter(std::string self, const Clock &clock, const LeaseStatus &lease);

    // Adds a workspace, or changes its rate and burst: the level is cut to a smaller burst and
    // never raised. Precondition: rate and burst from 1 to kMaxLimit.
    void setLimit(const std::string &workspace, WorkspaceLimit limit);

    // Takes over what ShareLedger::take() returned; repetitions have no effect.
    void onGrant(const std::string &workspace, const LedgerGrant &grant);

    // Sets the incarnations of the live entries as a survey of the leases found them. Only they are
    // asked for tokens and given any. Precondition: the survey began after all earlier calls of
    // onGrant(); run survey, setPeers(), take() and onGrant() in a loop on one thread.
    void setPeers(std::vector<std::string> peers);

    // Charges tokens (prompt + max_tokens) if the lease is held and the level suffices.
    // Errors, all NotRun: RateLimited with retryAt; BurstExceeded when no waiting can help;
    // LeaseExpired and StoreUnavailable with retryAt when this entry has no valid share;
    // RouteNotFound when the workspace is unknown; BadRequest when tokens < 0.
    [[nodiscard]] Result<Reservation> reserve(const std::string &workspace, std::int64_t tokens,
                                              Attempt attempt);

    // Ends the reservation and returns what was not used. used above the charge counts as the
    // charge. Unused tokens come back only as far as the bucket had room for them all the time.
    void settle(const Reservation &reservation, std::int64_t used);

    // Returns the transfer to send to the requester, if it gets anything.
    [[nodiscard]] std::optional<ShareTransfer> onRequest(const ShareRequest &request);

    // Returns the acknowledgement to send to the transfer's sender, if it was accepted.
    [[nodiscard]] std::optional<ShareAck> onTransfer(const ShareTransfer &transfer);

    // Ends the resending of a transfer.
    void onAck(const ShareAck &ack);

    // Stops all dealing with the fenced holders, for ever, and returns the nets; nullopt when this
    // holder is among them or does not know the workspace. Repetitions return the same nets.
    [[nodiscard]] std::optional<NetReport> onNetRequest(const NetRequest &request);

    // Returns what is due to be sent for one workspace, or for all.
    [[nodiscard]] OutgoingShares poll(const std::string &workspace);
    [[nodiscard]] OutgoingShares pollAll();

    // Gives all shares to peers. Call repeatedly, with pollAll(), until isDrained().
    [[nodiscard]] OutgoingShares leaveAll();

    // Returns whether no units are left here or in flight.
    [[nodiscard]] bool isDrained() const;

    // Returns the state of all workspaces in name order.
    [[nodiscard]] std::vector<ShareState> state() const;

private:
    struct Shard
    {
        mutable std::mutex mutex_;
        mutable std::map<std::string, TokenShare> shares_; // reading a level refills it
    };
    using Peers = std::shared_ptr<const PeerList>;

    [[nodiscard]] Shard &shardOf(const std::string &workspace) const;
    [[nodiscard]] Peers peers() const;
    // Calls action(share, now) under the shard's lock; returns fallback for unknown workspaces.
    template <typename T, typename Action>
    T withShare(const std::string &workspace, T fallback, Action action) const;
    template <typename Action>
    void forEachShare(Action action) const;

    // Enough that a few busy workspaces rarely share a lock.
    static constexpr std::size_t kShards = 64;

    std::string self_;
    const Clock &clock_;
    const LeaseStatus &lease_;
    mutable std::array<Shard, kShards> shards_;
    mutable std::mutex peersMutex_;
    Peers peers_;
};

} // namespace foxtailturn
