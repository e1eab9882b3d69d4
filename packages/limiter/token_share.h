#pragma once

// One holder's share of one workspace: token bucket, transfers with peers, demand and the waiting
// request. Internal to Limiter, which has one per workspace, guarded by the lock of its shard.

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

// The tokens charged for an admitted request. Pass it to settle() exactly once.
struct Reservation
{
    std::string workspace_;
    std::uint64_t id_ = 0;
    std::int64_t tokens_ = 0; // charged

    bool operator==(const Reservation &) const = default;
};

// Whether a call of reserve() is the first for a request, which counts as demand, or a retry after
// waiting for tokens from peers.
enum class Attempt { First, Repeated };

// Units that this holder has taken from the ledger since it joined.
struct LedgerGrant
{
    std::int64_t takenUnits_ = 0; // total of all takes, never decreases
    bool createdRow_ = false; // this take created the row, so the bucket starts full

    bool operator==(const LedgerGrant &) const = default;
};

// An entry's current share of a workspace, for metrics and /state.
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

// The other live holders according to the last survey of the leases.
struct PeerList
{
    std::uint64_t generation_ = 0; // number of surveys so far
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

    // The following functions are documented at Limiter.
    void setLimit(WorkspaceLimit limit, TimePoint now) { bucket_.setLimit(limit, now); }
    void onGrant(const LedgerGrant &grant, const PeerList &peers, TimePoint now);
    [[nodiscard]] Result<Reservation> reserve(std::int64_t tokens, Attempt attempt, TimePoint now);
    void settle(const Reservation &reservation, std::int64_t used, TimePoint now);
    [[nodiscard]] std::optional<ShareTransfer> onRequest(const ShareRequest &request,
                                                         const PeerList &peers, TimePoint now);
    [[nodiscard]] std::optional<ShareAck> onTransfer(const ShareTransfer &transfer, TimePoint now);
    void onAck(const ShareAck &ack);
    [[nodiscard]] std::optional<NetReport> onNetRequest(const NetRequest &request);

    // Appends the transfers to resend and the requests to peers that are due.
    void poll(const PeerList &peers, TimePoint now, OutgoingMessages &out);

    // Appends a transfer of all units and tokens to a peer that has requested or transferred units
    // of this workspace before, if one can receive it now.
    void drain(const PeerList &peers, TimePoint now, OutgoingMessages &out);

    [[nodiscard]] std::int64_t units() const { return bucket_.units(); }
    [[nodiscard]] std::int64_t unitsInFlight() const;
    [[nodiscard]] ShareState state(TimePoint now);

private:
    // Largest request that is waiting for tokens from peers.
    struct WaitingRequest
    {
        MicroTokens amount_ = 0;
        TimePoint waitingSince_;
        TimePoint expiresAt_; // unless retried by then, the request counts as abandoned
    };

    [[nodiscard]] tl::unexpected<Error> refuse(MicroTokens amount, TimePoint now);
    [[nodiscard]] bool isWaiting(TimePoint now) const;
    [[nodiscard]] bool needsTokens(TimePoint now);
    [[nodiscard]] OwnShare ownShare(TimePoint now);
    [[nodiscard]] ShareRequest makeRequest(const std::string &peer, TimePoint now);
    [[nodiscard]] std::optional<ShareTransfer> transferTo(const std::string &peer, ShareOffer offer,
                                                          TimePoint now);
    [[nodiscard]] bool canTransferTo(const std::string &peer, const PeerList &peers);
    void appendDueRequests(const PeerList &peers, TimePoint now, OutgoingMessages &out);
    void appendRequests(std::size_t count, const PeerList &peers, TimePoint now,
                        OutgoingMessages &out);

    std::string workspace_;
    std::string self_;
    const LeaseStatus *lease_;
    TokenBucket bucket_;
    DemandMeter demand_;
    bool joined_ = false;
    std::uint64_t joinedGeneration_ = 0; // generation of the peer list when the holder joined
    std::int64_t takenUnits_ = 0;
    std::uint64_t lastReservationId_ = 0;
    std::optional<WaitingRequest> waiting_;
    std::map<std::string, PeerChannel> channels_;
    std::map<std::string, std::int64_t>
        fencedNetUnits_; // final net units sent to each fenced holder
    TimePoint requestAt_;
    Duration requestInterval_;
    TimePoint balanceAt_;
    std::size_t nextPeer_;
};

} // namespace foxtailturn
