#pragma once

// One holder's share of one workspace: bucket, transfers with peers, demand and waiting requests.
// The Limiter keeps one per workspace under its shard's lock; use the Limiter instead.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "lease/lease_status.h"
#include "limiter/demand_meter.h"
#include "limiter/messages.h"
#include "limiter/peer_channel.h"
#include "limiter/share_policy.h"
#include "limiter/token_bucket.h"

namespace foxtailturn {

// An admitted request's charge. Return it with settle() exactly once.
struct Reservation
{
    std::string workspace_;
    std::uint64_t id_ = 0;
    std::int64_t tokens_ = 0; // charged

    bool operator==(const Reservation &) const = default;
};

// Whether a call of reserve() is a request's first one, which counts as demand, or repeats it after
// waiting for peers.
enum class Attempt { First, Repeated };

// Units that the ledger shows as taken by this holder since it joined.
struct LedgerGrant
{
    std::int64_t takenUnits_ = 0; // total of all takes, never decreases
    bool created_ = false; // the row was created by this take, so the bucket was never spent from

    bool operator==(const LedgerGrant &) const = default;
};

// What an entry has of a workspace now, for metrics and /state.
struct ShareState
{
    std::string workspace_;
    bool joined_ = false;
    std::int64_t units_ = 0;
    std::int64_t unitsInFlight_ = 0; // sent and not acknowledged
    MicroTokens level_ = 0;
    std::int64_t demand_ = 0; // tokens per second

    bool operator==(const ShareState &) const = default;
};

// The other live holders as the last survey of the leases found them.
struct PeerList
{
    std::uint64_t generation_ = 0; // counts the surveys
    std::vector<std::string> names_; // sorted

    bool operator==(const PeerList &) const = default;
};

// Not thread-safe. now must come from one clock and is read by the caller.
class TokenShare
{
public:
    // self is this incarnation's id. lease must outlive the share.
    TokenShare(std::string workspace, std::string self, const LeaseStatus &lease,
               WorkspaceLimit limit, TimePoint now);

    // See Limiter for the following functions.
    void setLimit(WorkspaceLimit limit, TimePoint now) { bucket_.setLimit(limit, now); }
    void onGrant(const LedgerGrant &grant, const PeerList &peers, TimePoint now);
    [[nodiscard]] Result<Reservation> reserve(std::int64_t tokens, Attempt attempt, TimePoint now);
    void settle(const Reservation &reservation, std::int64_t used, TimePoint now);
    [[nodiscard]] std::optional<ShareTransfer> onRequest(const ShareRequest &request,
                                                         const PeerList &peers, TimePoint now);
    [[nodiscard]] std::optional<ShareAck> onTransfer(const ShareTransfer &transfer, TimePoint now);
    void onAck(const ShareAck &ack);
    [[nodiscard]] std::optional<NetReport> onNetRequest(const NetRequest &request);

    // Appends the resends and requests that are due.
    void poll(const PeerList &peers, TimePoint now, OutgoingShares &out);

    // Appends a transfer of everything to a peer that takes part in this workspace, if there is
    // one.
    void leave(const PeerList &peers, TimePoint now, OutgoingShares &out);

    [[nodiscard]] std::int64_t units() const { return bucket_.units(); }
    [[nodiscard]] std::int64_t unitsInFlight() const;
    [[nodiscard]] ShareState state(TimePoint now);

private:
    // The largest request that waits for tokens from peers.
    struct WaitingRequest
    {
        MicroTokens amount_ = 0;
        TimePoint since_;
        TimePoint until_; // a request that is not repeated until then no longer waits
    };

    [[nodiscard]] tl::unexpected<Error> refuse(MicroTokens amount, TimePoint now);
    [[nodiscard]] bool isWaiting(TimePoint now) const;
    [[nodiscard]] bool isShort(TimePoint now);
    [[nodiscard]] OwnShare ownShare(TimePoint now);
    [[nodiscard]] ShareRequest requestTo(const std::string &peer, TimePoint now);
    [[nodiscard]] std::optional<ShareTransfer> give(const std::string &peer, ShareOffer offer,
                                                    TimePoint now);
    [[nodiscard]] bool mayGiveTo(const std::string &peer, const PeerList &peers);
    void ask(const PeerList &peers, TimePoint now, OutgoingShares &out);
    void askPeers(std::size_t count, const PeerList &peers, TimePoint now, OutgoingShares &out);

    std::string workspace_;
    std::string self_;
    const LeaseStatus *lease_;
    TokenBucket bucket_;
    DemandMeter demand_;
    bool joined_ = false;
    std::uint64_t joinedGeneration_ = 0; // of the peer list at the time of joining
    std::int64_t takenUnits_ = 0;
    std::uint64_t lastReservation_ = 0;
    std::optional<WaitingRequest> waiting_;
    std::map<std::string, PeerChannel> channels_;
    std::map<std::string, std::int64_t> blocked_; // fenced holders and the final net of each
    TimePoint askAt_;
    Duration askDelay_;
    TimePoint balanceAt_;
    std::size_t nextPeer_;
};

} // namespace foxtailturn
