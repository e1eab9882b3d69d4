#include "limiter/peer_channel.h"

#include <algorithm>
#include <utility>

namespace foxtailturn {

namespace {

// Longer than the round-trip time between data centres of one region.
constexpr Duration kInitialResendDelay = std::chrono::milliseconds(25);
// Limits the resends to a peer that a network partition makes unreachable.
constexpr Duration kMaxResendDelay = std::chrono::seconds(1);

} // namespace

ShareTransfer PeerChannel::startTransfer(ShareTransfer transfer, TimePoint now)
{
    transfer.sequence_ = ++lastSentSequence_;
    sentUnits_ += transfer.units_;
    resendDelay_ = kInitialResendDelay;
    resendAt_ = now + resendDelay_;
    unacknowledged_ = std::move(transfer);
    return *unacknowledged_;
}

std::optional<ShareTransfer> PeerChannel::dueResend(TimePoint now)
{
    if (!unacknowledged_ || now < resendAt_)
        return std::nullopt;
    resendDelay_ = std::min(resendDelay_ * 2, kMaxResendDelay);
    resendAt_ = now + resendDelay_;
    return unacknowledged_;
}

void PeerChannel::onAck(std::uint64_t sequence)
{
    if (unacknowledged_ && unacknowledged_->sequence_ == sequence)
        unacknowledged_.reset();
}

ReceiveResult PeerChannel::accept(const ShareTransfer &transfer)
{
    if (transfer.sequence_ <= lastReceivedSequence_)
        return ReceiveResult::Duplicate;
    if (transfer.sequence_ != lastReceivedSequence_ + 1)
        return ReceiveResult::Invalid;
    lastReceivedSequence_ = transfer.sequence_;
    receivedUnits_ += transfer.units_;
    return ReceiveResult::New;
}

} // namespace foxtailturn
