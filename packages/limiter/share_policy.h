#pragma once

// Decides how much of its share a holder transfers to a peer that asks for units. A pure function
// of the state of both.
//
//     const ShareOffer offer = decideOffer(own, request, limit.burst_);
//     if (offer.units_ > 0) send(offer);

#include "limiter/messages.h"

namespace foxtailturn {

// State of the holder that received the request.
struct OwnShare
{
    std::int64_t units_ = 0;
    MicroTokens level_ = 0;
    std::int64_t demand_ = 0; // tokens per second
    MicroTokens reserved_ = 0; // total amount of the holder's own waiting request; 0: none
    std::int64_t waitedMicros_ = 0; // how long that request has waited

    bool operator==(const OwnShare &) const = default;
};

struct ShareOffer
{
    std::int64_t units_ = 0;
    MicroTokens level_ = 0;

    bool operator==(const ShareOffer &) const = default;
};

// Returns what to transfer: enough to divide units and tokens in proportion to demand, and more if
// the requester has a waiting request. Guarantees 0 <= units_ <= own.units_ and
// 0 <= level_ <= min(own.level_, burst * units_), and that the remaining level is at most the
// capacity of the remaining units. Thread-safe.
[[nodiscard]] ShareOffer decideOffer(const OwnShare &own, const ShareRequest &request,
                                     std::int64_t burst);

} // namespace foxtailturn
