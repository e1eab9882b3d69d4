#pragma once

// Transfers units between this holder and one peer exactly once, for one workspace.
//
//     const ShareTransfer sent = channel.startTransfer(transfer, now);
//     channel.dueResend(now);    // returns it again until it is acknowledged
//     channel.onAck(sequence);
//     if (channel.accept(received) == ReceiveResult::New) bucket.addUnits(...);
//
// At most one transfer per direction is unacknowledged. A receiver therefore stores only the last
// sequence number: a transfer with that number or a lower one is a duplicate.

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "limiter/messages.h"

namespace foxtailturn {

enum class ReceiveResult {
    New, // add the units and acknowledge
    Duplicate, // only acknowledge
    Invalid, // ignore; a correct sender cannot send it
};

// Not thread-safe.
class PeerChannel
{
public:
    // Returns whether a transfer is unacknowledged; no further one may be started until then.
    [[nodiscard]] bool hasUnacknowledged() const { return unacknowledged_.has_value(); }

    // Assigns the sequence number, stores the transfer for resending and counts its units as sent.
    // Precondition: not hasUnacknowledged().
    ShareTransfer startTransfer(ShareTransfer transfer, TimePoint now);

    // Returns the unacknowledged transfer if it is due to be resent, and schedules the next resend.
    [[nodiscard]] std::optional<ShareTransfer> dueResend(TimePoint now);

    // Completes the unacknowledged transfer if it has this sequence number.
    void onAck(std::uint64_t sequence);

    // Classifies a received transfer and counts its units as received unless it is a duplicate or
    // invalid.
    ReceiveResult accept(const ShareTransfer &transfer);

    // Returns the units of the unacknowledged transfer, 0 if there is none.
    [[nodiscard]] std::int64_t unacknowledgedUnits() const
    {
        return unacknowledged_ ? unacknowledged_->units_ : 0;
    }

    // Returns all units sent so far, acknowledged or not, minus all units received.
    [[nodiscard]] std::int64_t netUnits() const { return sentUnits_ - receivedUnits_; }

private:
    std::optional<ShareTransfer> unacknowledged_;
    TimePoint resendAt_;
    Duration resendDelay_{};
    std::uint64_t lastSentSequence_ = 0;
    std::uint64_t lastReceivedSequence_ = 0;
    std::int64_t sentUnits_ = 0;
    std::int64_t receivedUnits_ = 0;
};

} // namespace foxtailturn
