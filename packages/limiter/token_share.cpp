#include "limiter/token_share.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace foxtailturn {

namespace {

const Logger kLog("limiter");

constexpr Duration kMinRequestInterval = std::chrono::milliseconds(10);
// Upper bound of the exponential backoff. A workspace over its rate lacks tokens at all entries, so
// frequent requests to peers would be in vain.
constexpr Duration kMaxRequestInterval = std::chrono::milliseconds(160);
// Limits the messages per workspace and process in a fleet of some hundred entries.
constexpr std::size_t kMaxPeersRequested = 5;
constexpr Duration kWaitingTimeout = std::chrono::milliseconds(300);
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(1);
constexpr Duration kNoShareRetryDelay = std::chrono::seconds(1);
// Interval at which a holder with demand requests its proportional part from one peer. It keeps any
// entry from holding much more than its part, which would lie idle from the entry's end until the
// end is detected.
constexpr Duration kBalanceInterval = std::chrono::seconds(1);
// Low watermark: when the level is below the demand during this time, peers are asked for more
// before requests have to wait.
constexpr std::int64_t kLowWatermarkMicros = 200'000;

} // namespace

TokenShare::TokenShare(std::string workspace, std::string self, const LeaseStatus &lease,
                       WorkspaceLimit limit, TimePoint now)
    : workspace_(std::move(workspace))
    , self_(std::move(self))
    , lease_(&lease)
    , bucket_(limit, now)
    , requestInterval_(kMinRequestInterval)
    , nextPeer_(hash64(workspace_ + self_)) // spreads the first requests of holders over the peers
{ }

void TokenShare::onGrant(const LedgerGrant &grant, const PeerList &peers, TimePoint now)
{
    if (!joined_)
        joinedGeneration_ = peers.generation_;
    joined_ = true;
    const std::int64_t added = grant.takenUnits_ - takenUnits_;
    if (added <= 0)
        return;
    takenUnits_ = grant.takenUnits_;
    const MicroTokens level = grant.createdRow_ ? bucket_.limit().burst_ * added : 0;
    bucket_.addUnits(added, level, now);
}

Result<Reservation> TokenShare::reserve(std::int64_t tokens, Attempt attempt, TimePoint now)
{
    if (tokens < 0)
        return notRun(ErrorCode::BadRequest, "negative number of tokens");
    if (tokens > bucket_.limit().burst_)
        return notRun(
            ErrorCode::BurstExceeded,
            concat("request of ", tokens, " tokens exceeds the burst of ", bucket_.limit().burst_));
    if (attempt == Attempt::First)
        demand_.add(tokens, now);
    if (!joined_)
        return notRun(ErrorCode::StoreUnavailable, "no share of the workspace yet",
                      now + kNoShareRetryDelay);
    const MicroTokens amount = tokens * kMicroTokensPerToken;
    if (!lease_->isHeld())
        return notRun(ErrorCode::LeaseExpired, "lease is not held", now + kNoShareRetryDelay);
    if (!bucket_.take(++lastReservationId_, amount, now))
        return refuse(amount, now);
    if (waiting_ && amount >= waiting_->amount_)
        waiting_.reset();
    return Reservation{workspace_, lastReservationId_, tokens};
}

tl::unexpected<Error> TokenShare::refuse(MicroTokens amount, TimePoint now)
{
    if (!isWaiting(now))
        waiting_ = WaitingRequest{amount, now, now};
    waiting_->amount_ = std::max(waiting_->amount_, amount);
    waiting_->expiresAt_ = now + kWaitingTimeout;
    TimePoint retryAt = bucket_.availableAt(amount, now);
    if (retryAt == TimePoint::max()) // needs units of peers; estimated by the workspace's full rate
        retryAt = now + Duration((amount - bucket_.level(now)) / bucket_.limit().rate_);
    return notRun(ErrorCode::RateLimited, "workspace is over its rate",
                  std::max(retryAt, now + kMinRetryDelay));
}

void TokenShare::settle(const Reservation &reservation, std::int64_t used, TimePoint now)
{
    const std::int64_t unused = reservation.tokens_ - std::min(used, reservation.tokens_);
    bucket_.settle(reservation.id_, unused * kMicroTokensPerToken, now);
}

bool TokenShare::isWaiting(TimePoint now) const
{
    return waiting_ && now < waiting_->expiresAt_;
}

bool TokenShare::needsTokens(TimePoint now)
{
    return isWaiting(now)
        || bucket_.level(now) < demand_.tokensPerSecond(now) * kLowWatermarkMicros;
}

OwnShare TokenShare::ownShare(TimePoint now)
{
    OwnShare own{bucket_.units(), bucket_.level(now), demand_.tokensPerSecond(now)};
    if (isWaiting(now)) {
        own.reserved_ = waiting_->amount_;
        own.waitedMicros_ = (now - waiting_->waitingSince_).count();
    }
    return own;
}

// Units sent to a holder that was settled before this one joined would be lost, because no report
// on it will be requested again. A survey made after the join no longer lists such a holder, and a
// holder that ends later is not settled without this one's report.
bool TokenShare::canTransferTo(const std::string &peer, const PeerList &peers)
{
    return joined_ && peers.generation_ > joinedGeneration_
        && std::binary_search(peers.names_.begin(), peers.names_.end(), peer)
        && fencedNetUnits_.count(peer) == 0 && lease_->isHeld()
        && !channels_[peer].hasUnacknowledged();
}

std::optional<ShareTransfer> TokenShare::onRequest(const ShareRequest &request,
                                                   const PeerList &peers, TimePoint now)
{
    const std::string &peer = request.requester_;
    if (!canTransferTo(peer, peers))
        return std::nullopt;
    return transferTo(peer, decideOffer(ownShare(now), request, bucket_.limit().burst_), now);
}

std::optional<ShareTransfer> TokenShare::transferTo(const std::string &peer, ShareOffer offer,
                                                    TimePoint now)
{
    if (offer.units_ <= 0)
        return std::nullopt;
    bucket_.removeUnits(offer.units_, offer.level_, now);
    return channels_[peer].startTransfer({workspace_, self_, peer, 0, offer.units_, offer.level_},
                                         now);
}

std::optional<ShareAck> TokenShare::onTransfer(const ShareTransfer &transfer, TimePoint now)
{
    const bool isValid = transfer.units_ > 0 && transfer.units_ <= kTotalUnits
        && transfer.level_ >= 0 && transfer.receiver_ == self_;
    if (!isValid || !joined_ || fencedNetUnits_.count(transfer.sender_) != 0)
        return std::nullopt;
    const ReceiveResult result = channels_[transfer.sender_].accept(transfer);
    if (result == ReceiveResult::Invalid) {
        kLog.error(concat(
            "share transfer with a sequence number out of order ignored, workspace=", workspace_,
            " sender=", transfer.sender_, " sequence=", transfer.sequence_));
        return std::nullopt;
    }
    if (result == ReceiveResult::New) {
        bucket_.addUnits(transfer.units_, transfer.level_, now);
        requestInterval_ = kMinRequestInterval;
        requestAt_ = now;
    }
    return ShareAck{workspace_, transfer.sender_, self_, transfer.sequence_};
}

void TokenShare::onAck(const ShareAck &ack)
{
    const auto it = channels_.find(ack.receiver_);
    if (it != channels_.end() && ack.sender_ == self_)
        it->second.onAck(ack.sequence_);
}

std::optional<NetReport> TokenShare::onNetRequest(const NetRequest &request)
{
    NetReport report{workspace_, self_, {}};
    for (const std::string &holder : request.fenced_) {
        if (holder == self_)
            return std::nullopt;
        const auto [entry, isNew] = fencedNetUnits_.try_emplace(holder, 0);
        if (isNew)
            entry->second = channels_[holder].netUnits();
        channels_.erase(holder);
        report.netUnits_[holder] = entry->second;
    }
    return report;
}

std::int64_t TokenShare::unitsInFlight() const
{
    std::int64_t units = 0;
    for (const auto &[peer, channel] : channels_)
        units += channel.unacknowledgedUnits();
    return units;
}

ShareState TokenShare::state(TimePoint now)
{
    return {workspace_,         joined_,
            bucket_.units(),    unitsInFlight(),
            bucket_.level(now), demand_.tokensPerSecond(now)};
}

ShareRequest TokenShare::makeRequest(const std::string &peer, TimePoint now)
{
    const OwnShare own = ownShare(now);
    const std::int64_t burst = bucket_.limit().burst_;
    const std::int64_t holding = (own.reserved_ + burst - 1) / burst;
    return {workspace_,
            self_,
            peer,
            std::max<MicroTokens>(0, own.reserved_ - own.level_),
            std::max<std::int64_t>(0, holding - own.units_),
            own.waitedMicros_,
            own.units_,
            own.level_,
            own.demand_};
}

void TokenShare::appendDueRequests(const PeerList &peers, TimePoint now, OutgoingMessages &out)
{
    if (!joined_ || !lease_->isHeld())
        return;
    if (now >= requestAt_ && needsTokens(now)) {
        appendRequests(std::min(peers.names_.size(), kMaxPeersRequested), peers, now, out);
        requestAt_ = now + requestInterval_;
        requestInterval_ = std::min(requestInterval_ * 2, kMaxRequestInterval);
        balanceAt_ = now + kBalanceInterval;
    }
    if (now >= balanceAt_ && demand_.tokensPerSecond(now) > 0) {
        appendRequests(std::min<std::size_t>(peers.names_.size(), 1), peers, now, out);
        balanceAt_ = now + kBalanceInterval;
    }
}

void TokenShare::appendRequests(std::size_t count, const PeerList &peers, TimePoint now,
                                OutgoingMessages &out)
{
    for (std::size_t i = 0; i < count; ++i) {
        const std::string &peer = peers.names_[nextPeer_++ % peers.names_.size()];
        if (fencedNetUnits_.count(peer) == 0)
            out.requests_.push_back(makeRequest(peer, now));
    }
}

void TokenShare::poll(const PeerList &peers, TimePoint now, OutgoingMessages &out)
{
    for (auto &[peer, channel] : channels_) {
        if (std::optional<ShareTransfer> transfer = channel.dueResend(now))
            out.transfers_.push_back(std::move(*transfer));
    }
    appendDueRequests(peers, now, out);
}

void TokenShare::drain(const PeerList &peers, TimePoint now, OutgoingMessages &out)
{
    if (bucket_.units() == 0)
        return;
    for (const auto &[peer, channel] : channels_) {
        if (!canTransferTo(peer, peers))
            continue;
        const ShareOffer all{bucket_.units(), bucket_.level(now)};
        if (std::optional<ShareTransfer> transfer = transferTo(peer, all, now))
            out.transfers_.push_back(std::move(*transfer));
        return;
    }
}

} // namespace foxtailturn
