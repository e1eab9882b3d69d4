#pragma once

// Exactly-once transfers of units between this holder and one peer, for one workspace.
//
//     const ShareTransfer &sent = channel.open(units, level, now);  // resent by due(now)
//     channel.onAck(sequence);
//     if (channel.accept(transfer) == Arrival::First) bucket.addUnits(...);
//
// One transfer is open at a time in each direction. A receiver therefore only remembers the last
// sequence number: everything up to it is a repetition.

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "limiter/messages.h"

namespace foxtailturn {

enum class Arrival {
    First, // count the units and acknowledge
    Repeated, // only acknowledge
    Invalid, // ignore; cannot come from a correct sender
};

// Not thread-safe.
class PeerChannel
{
public:
    // Returns whether a transfer waits for its acknowledgement; a second one may not be opened.
    [[nodiscard]] bool isBusy() const { return open_.has_value(); }

    // Numbers the transfer, keeps it for resending and counts its units as sent. Precondition:
    // not isBusy().
    ShareTransfer open(ShareTransfer transfer, TimePoint now);

    // Returns the open transfer when it is time to send it again.
    [[nodiscard]] std::optional<ShareTransfer> due(TimePoint now);

    // Closes the open transfer if the acknowledgement is for it.
    void onAck(std::uint64_t sequence);

    // Classifies a received transfer and counts the units of a first arrival as received.
    Arrival accept(const ShareTransfer &transfer);

    // Returns the units of the open transfer.
    [[nodiscard]] std::int64_t openUnits() const { return open_ ? open_->units_ : 0; }

    // Returns units sent, acknowledged or not, minus units received, since the beginning.
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
