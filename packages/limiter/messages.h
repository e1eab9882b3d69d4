#pragma once

// Messages exchanged by the limiters of entries. The limiter produces and consumes them; the peer
// package transports them. A holder is identified by its incarnation (process name and boot id).
//
//     ShareTransfer transfer = ...;              // received from a peer
//     if (std::optional<ShareAck> ack = limiter.onTransfer(transfer))
//         send(ack->sender_, *ack);

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "limiter/token_bucket.h"

namespace foxtailturn {

// Asks a peer for part of its share. Loss, duplication and delay are harmless.
struct ShareRequest
{
    std::string workspace_;
    std::string requester_;
    std::string receiver_;
    MicroTokens missingLevel_ = 0; // micro-tokens that a waiting request lacks; 0: none is waiting
    std::int64_t missingUnits_ = 0; // units lacking to raise the capacity to that request's tokens
    std::int64_t waitedMicros_ = 0; // how long that request has waited
    std::int64_t units_ = 0; // units of the requester at sending
    MicroTokens level_ = 0; // fill level of the requester at sending
    std::int64_t demand_ = 0; // recent demand at the requester, tokens per second

    bool operator==(const ShareRequest &) const = default;
};

// Moves units and available tokens, of which there are at most the units' part of the burst. Resent
// until acknowledged; applied exactly once. Sequence numbers start at 1 for each (workspace,
// sender, receiver).
struct ShareTransfer
{
    std::string workspace_;
    std::string sender_;
    std::string receiver_;
    std::uint64_t sequence_ = 0;
    std::int64_t units_ = 0;
    MicroTokens level_ = 0;

    bool operator==(const ShareTransfer &) const = default;
};

// Acknowledges a transfer, including a duplicate of one that was accepted earlier.
struct ShareAck
{
    std::string workspace_;
    std::string sender_; // of the transfer; this message is sent to it
    std::string receiver_; // of the transfer
    std::uint64_t sequence_ = 0;

    bool operator==(const ShareAck &) const = default;
};

// Asks a live holder to end all transfers with fenced (or released) holders and to report the net
// units that it has sent to each of them.
struct NetRequest
{
    std::string workspace_;
    std::vector<std::string> fenced_;

    bool operator==(const NetRequest &) const = default;
};

// For each fenced holder: units sent to it minus units received from it. The values are final, as
// the reporter neither sends to these holders nor accepts transfers from them any more.
struct NetReport
{
    std::string workspace_;
    std::string reporter_;
    std::map<std::string, std::int64_t> netUnits_;

    bool operator==(const NetReport &) const = default;
};

// Messages that the caller has to send; each names its receiver.
struct OutgoingMessages
{
    std::vector<ShareRequest> requests_;
    std::vector<ShareTransfer> transfers_;

    bool operator==(const OutgoingMessages &) const = default;
};

} // namespace foxtailturn
