#pragma once

// Enforces the fleet-wide token rate and burst of each workspace. Each limit is divided into
// 1,000,000 units, which entries transfer to each other according to demand.
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
// Graceful shutdown: call drainAll() and send its result until isDrained() or a deadline, then
// release the lease; units that could not be transferred are reclaimed through the ledger.

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "limiter/token_share.h"

namespace foxtailturn {

// Maximum time that a request waits for tokens from peers before it is refused.
constexpr Duration kPeerWait = std::chrono::milliseconds(250);
// Interval at which the caller has to call pollAll().
constexpr Duration kPollInterval = std::chrono::milliseconds(10);

// Thread-safe. No function blocks on I/O.
class Limiter
{
public:
    // self is this incarnation's id. clock and lease must outlive the limiter.
    Limiter(std::string self, const Clock &clock, const LeaseStatus &lease);

    // Adds a workspace, or changes its rate and burst: tokens above a smaller burst are discarded,
    // and none are added. Precondition: rate and burst from 1 to kMaxLimit.
    void setLimit(const std::string &workspace, WorkspaceLimit limit);

    // Applies the result of ShareLedger::take(). Idempotent.
    void onGrant(const std::string &workspace, const LedgerGrant &grant);

    // Sets the incarnations of the live entries according to a survey of the leases. Requests and
    // new transfers go only to them. Precondition: the survey began after all earlier calls of
    // onGrant(); run survey, setPeers(), take() and onGrant() in a loop on one thread.
    void setPeers(std::vector<std::string> peers);

    // Charges tokens (prompt + max_tokens) if the lease is held and enough tokens are available.
    // Errors, all NotRun: RateLimited with retryAt; BurstExceeded if tokens is above the burst, so
    // that a retry cannot succeed; LeaseExpired and StoreUnavailable with retryAt if this entry has
    // no valid share; RouteNotFound if the workspace is unknown; BadRequest if tokens < 0.
    [[nodiscard]] Result<Reservation> reserve(const std::string &workspace, std::int64_t tokens,
                                              Attempt attempt);

    // Closes the reservation and refunds the unused tokens. used above the charge counts as the
    // charge. Tokens that refill has already replaced are not refunded, see TokenBucket::settle().
    void settle(const Reservation &reservation, std::int64_t used);

    // Returns the transfer to send to the requester; nullopt if there is nothing to transfer.
    [[nodiscard]] std::optional<ShareTransfer> onRequest(const ShareRequest &request);

    // Applies the transfer unless it is a duplicate. Returns the acknowledgement to send to the
    // transfer's sender; nullopt if the transfer was rejected.
    [[nodiscard]] std::optional<ShareAck> onTransfer(const ShareTransfer &transfer);

    // Stops the resending of an acknowledged transfer.
    void onAck(const ShareAck &ack);

    // Permanently ends transfers to and from the fenced holders and reports the net units sent to
    // each; nullopt if this holder is among them or the workspace is unknown. Repeated calls report
    // the same values.
    [[nodiscard]] std::optional<NetReport> onNetRequest(const NetRequest &request);

    // Returns the messages that are due for one workspace, or for all.
    [[nodiscard]] OutgoingMessages poll(const std::string &workspace);
    [[nodiscard]] OutgoingMessages pollAll();

    // Starts transfers of all units to peers. Call it and pollAll() repeatedly until isDrained().
    [[nodiscard]] OutgoingMessages drainAll();

    // Returns whether this entry has no units, neither in a share nor in flight.
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

    [[nodiscard]] Shard &shardFor(const std::string &workspace) const;
    [[nodiscard]] Peers peers() const;
    // Calls action(share, now) under the shard's lock; returns fallback for unknown workspaces.
    template <typename T, typename Action>
    T withShare(const std::string &workspace, T fallback, Action action) const;
    template <typename Action>
    void forEachShare(Action action) const;

    // Large enough that a few busy workspaces rarely contend for the same lock.
    static constexpr std::size_t kShardCount = 64;

    std::string self_;
    const Clock &clock_;
    const LeaseStatus &lease_;
    mutable std::array<Shard, kShardCount> shards_;
    mutable std::mutex peersMutex_;
    Peers peers_;
};

} // namespace foxtailturn
