#include "limiter/limiter.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace foxtailturn {

Limiter::Limiter(std::string self, const Clock &clock, const LeaseStatus &lease)
    : self_(std::move(self))
    , clock_(clock)
    , lease_(lease)
    , peers_(std::make_shared<const PeerList>())
{ }

Limiter::Shard &Limiter::shardFor(const std::string &workspace) const
{
    return shards_[hash64(workspace) % kShardCount];
}

Limiter::Peers Limiter::peers() const
{
    const std::lock_guard lock(peersMutex_);
    return peers_;
}

// Reads the clock under the lock, so that the time passed to a share never decreases.
template <typename T, typename Action>
T Limiter::withShare(const std::string &workspace, T fallback, Action action) const
{
    Shard &shard = shardFor(workspace);
    const std::lock_guard lock(shard.mutex_);
    const auto it = shard.shares_.find(workspace);
    return it == shard.shares_.end() ? std::move(fallback) : action(it->second, clock_.now());
}

template <typename Action>
void Limiter::forEachShare(Action action) const
{
    for (Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex_);
        for (auto &[workspace, share] : shard.shares_)
            action(share, clock_.now());
    }
}

void Limiter::setLimit(const std::string &workspace, WorkspaceLimit limit)
{
    Shard &shard = shardFor(workspace);
    const std::lock_guard lock(shard.mutex_);
    const TimePoint now = clock_.now();
    const auto [it, isNew] =
        shard.shares_.try_emplace(workspace, workspace, self_, lease_, limit, now);
    if (!isNew)
        it->second.setLimit(limit, now);
}

void Limiter::onGrant(const std::string &workspace, const LedgerGrant &grant)
{
    const Peers peers = this->peers();
    withShare(workspace, false, [&](TokenShare &share, TimePoint now) {
        share.onGrant(grant, *peers, now);
        return true;
    });
}

void Limiter::setPeers(std::vector<std::string> peers)
{
    peers.erase(std::remove(peers.begin(), peers.end(), self_), peers.end());
    std::sort(peers.begin(), peers.end());
    const std::lock_guard lock(peersMutex_);
    peers_ = std::make_shared<const PeerList>(PeerList{peers_->generation_ + 1, std::move(peers)});
}

Result<Reservation> Limiter::reserve(const std::string &workspace, std::int64_t tokens,
                                     Attempt attempt)
{
    Result<Reservation> unknown =
        notRun(ErrorCode::RouteNotFound, concat("no limit for workspace ", workspace));
    return withShare(workspace, std::move(unknown), [&](TokenShare &share, TimePoint now) {
        return share.reserve(tokens, attempt, now);
    });
}

void Limiter::settle(const Reservation &reservation, std::int64_t used)
{
    withShare(reservation.workspace_, false, [&](TokenShare &share, TimePoint now) {
        share.settle(reservation, used, now);
        return true;
    });
}

std::optional<ShareTransfer> Limiter::onRequest(const ShareRequest &request)
{
    if (request.receiver_ != self_)
        return std::nullopt;
    const Peers peers = this->peers();
    return withShare(
        request.workspace_, std::optional<ShareTransfer>(),
        [&](TokenShare &share, TimePoint now) { return share.onRequest(request, *peers, now); });
}

std::optional<ShareAck> Limiter::onTransfer(const ShareTransfer &transfer)
{
    return withShare(
        transfer.workspace_, std::optional<ShareAck>(),
        [&](TokenShare &share, TimePoint now) { return share.onTransfer(transfer, now); });
}

void Limiter::onAck(const ShareAck &ack)
{
    withShare(ack.workspace_, false, [&](TokenShare &share, TimePoint) {
        share.onAck(ack);
        return true;
    });
}

std::optional<NetReport> Limiter::onNetRequest(const NetRequest &request)
{
    return withShare(request.workspace_, std::optional<NetReport>(),
                     [&](TokenShare &share, TimePoint) { return share.onNetRequest(request); });
}

OutgoingMessages Limiter::poll(const std::string &workspace)
{
    const Peers peers = this->peers();
    return withShare(workspace, OutgoingMessages(), [&](TokenShare &share, TimePoint now) {
        OutgoingMessages out;
        share.poll(*peers, now, out);
        return out;
    });
}

OutgoingMessages Limiter::pollAll()
{
    const Peers peers = this->peers();
    OutgoingMessages out;
    forEachShare([&](TokenShare &share, TimePoint now) { share.poll(*peers, now, out); });
    return out;
}

OutgoingMessages Limiter::drainAll()
{
    const Peers peers = this->peers();
    OutgoingMessages out;
    forEachShare([&](TokenShare &share, TimePoint now) { share.drain(*peers, now, out); });
    return out;
}

bool Limiter::isDrained() const
{
    bool drained = true;
    forEachShare([&](const TokenShare &share, TimePoint) {
        drained = drained && share.units() == 0 && share.unitsInFlight() == 0;
    });
    return drained;
}

std::vector<ShareState> Limiter::state() const
{
    std::vector<ShareState> states;
    forEachShare([&](TokenShare &share, TimePoint now) { states.push_back(share.state(now)); });
    std::sort(states.begin(), states.end(),
              [](const auto &a, const auto &b) { return a.workspace_ < b.workspace_; });
    return states;
}

} // namespace foxtailturn
