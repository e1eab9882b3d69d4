#pragma once

// Plain messages between the limiters of entries. The peer package carries them; the limiter takes
// and returns them. Names of holders are incarnations (process name and boot id).
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

// Asks a peer for part of its share. It may be lost, repeated or late without harm.
struct ShareRequest
{
    std::string workspace_;
    std::string requester_;
    std::string receiver_;
    MicroTokens needLevel_ = 0; // level missing for a waiting request; 0: none is waiting
    std::int64_t needUnits_ = 0; // units missing to hold that request's tokens
    std::int64_t waitedMicros_ = 0; // time for which that request has waited
    std::int64_t units_ = 0; // what the requester has now
    MicroTokens level_ = 0;
    std::int64_t demand_ = 0; // tokens per second asked of the requester lately

    bool operator==(const ShareRequest &) const = default;
};

// Moves units, and a level of at most their part of the burst. Resent until acknowledged; accepted
// once. Sequence numbers count from 1 for each (workspace, sender, receiver).
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

// Tells the sender that the transfer was accepted, now or before.
struct ShareAck
{
    std::string workspace_;
    std::string sender_; // of the transfer, which is the receiver of this message
    std::string receiver_; // of the transfer
    std::uint64_t sequence_ = 0;

    bool operator==(const ShareAck &) const = default;
};

// Asks a live holder to stop dealing with fenced (or released) holders and to report its nets.
struct NetRequest
{
    std::string workspace_;
    std::vector<std::string> fenced_;

    bool operator==(const NetRequest &) const = default;
};

// For each fenced holder: units sent to it minus units received from it. Final, because the
// reporter no longer deals with these holders.
struct NetReport
{
    std::string workspace_;
    std::string reporter_;
    std::map<std::string, std::int64_t> nets_;

    bool operator==(const NetReport &) const = default;
};

// What a limiter wants to have sent now; each message names its receiver.
struct OutgoingShares
{
    std::vector<ShareRequest> requests_;
    std::vector<ShareTransfer> transfers_;

    bool operator==(const OutgoingShares &) const = default;
};

} // namespace foxtailturn
