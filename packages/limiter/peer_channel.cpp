#include "limiter/peer_channel.h"

#include <algorithm>
#include <utility>

namespace foxtailturn {

namespace {

// Longer than the round-trip time between data centres of one region.
constexpr Duration kFirstResend = std::chrono::milliseconds(25);
// Limits the resends to a peer that a network partition makes unreachable.
constexpr Duration kLongestResend = std::chrono::seconds(1);

} // namespace

ShareTransfer PeerChannel::open(ShareTransfer transfer, TimePoint now)
{
    transfer.sequence_ = ++lastSent_;
    sentUnits_ += transfer.units_;
    resendDelay_ = kFirstResend;
    resendAt_ = now + resendDelay_;
    open_ = std::move(transfer);
    return *open_;
}

std::optional<ShareTransfer> PeerChannel::due(TimePoint now)
{
    if (!open_ || now < resendAt_)
        return std::nullopt;
    resendDelay_ = std::min(resendDelay_ * 2, kLongestResend);
    resendAt_ = now + resendDelay_;
    return open_;
}

void PeerChannel::onAck(std::uint64_t sequence)
{
    if (open_ && open_->sequence_ == sequence)
        open_.reset();
}

Arrival PeerChannel::accept(const ShareTransfer &transfer)
{
    if (transfer.sequence_ <= lastReceived_)
        return Arrival::Repeated;
    if (transfer.sequence_ != lastReceived_ + 1)
        return Arrival::Invalid;
    lastReceived_ = transfer.sequence_;
    receivedUnits_ += transfer.units_;
    return Arrival::First;
}

} // namespace foxtailturn
