#pragma once

// Transfers units between this holder and one peer exactly once, for one workspace.
//
//     const ShareTransfer &sent = channel.open(units, level, now);  // resent by due(now)
//     channel.onAck(sequence);
//     if (channel.accept(transfer) == Arrival::First) bucket.addUnits(...);
//
// At most one transfer per direction is unacknowledged. A receiver therefore stores only the last
// sequence number: a transfer with that number or a lower one is a duplicate.

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "limiter/messages.h"

namespace foxtailturn {

enum class Arrival {
    First, // add the units and acknowledge
    Repeated, // a duplicate: only acknowledge
    Invalid, // ignore; a correct sender cannot send it
};

// Not thread-safe.
class PeerChannel
{
public:
    // Returns whether a transfer is unacknowledged; no further one may be opened until then.
    [[nodiscard]] bool isBusy() const { return open_.has_value(); }

    // Assigns the sequence number, stores the transfer for resending and counts its units as sent.
    // Precondition: not isBusy().
    ShareTransfer open(ShareTransfer transfer, TimePoint now);

    // Returns the unacknowledged transfer if it is due to be resent, and schedules the next resend.
    [[nodiscard]] std::optional<ShareTransfer> due(TimePoint now);

    // Completes the unacknowledged transfer if it has this sequence number.
    void onAck(std::uint64_t sequence);

    // Classifies a received transfer and counts its units as received unless it is a duplicate or
    // invalid.
    Arrival accept(const ShareTransfer &transfer);

    // Returns the units of the unacknowledged transfer, 0 if there is none.
    [[nodiscard]] std::int64_t openUnits() const { return open_ ? open_->units_ : 0; }

    // Returns all units sent so far, acknowledged or not, minus all units received.
    [[nodiscard]] std::int64_t net() const { return sentUnits_ - receivedUnits_; }

private:
    std::optional<ShareTransfer> open_;
    TimePoint resendAt_;
    Duration resendDelay_{};
    std::uint64_t lastSent_ = 0;
    std::uint64_t lastReceived_ = 0;
    std::int64_t sentUnits_ = 0;
    std::int64_t receivedUnits_ = 0;
};

} // namespace foxtailturn
