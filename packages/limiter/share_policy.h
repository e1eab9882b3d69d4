#pragma once

// Decides how much of a share a peer gets. Pure function of both sides' state.
//
//     const ShareOffer offer = decideOffer(own, request, limit.burst_);
//     if (offer.units_ > 0) send(offer);

#include "limiter/messages.h"

namespace foxtailturn {

// State of the holder that is asked.
struct OwnShare
{
    std::int64_t units_ = 0;
    MicroTokens level_ = 0;
    std::int64_t demand_ = 0; // tokens per second
    MicroTokens reserved_ = 0; // amount that an own waiting request needs in total; 0: none waits
    std::int64_t waitedMicros_ = 0; // time for which it has waited

    bool operator==(const OwnShare &) const = default;
};

struct ShareOffer
{
    std::int64_t units_ = 0;
    MicroTokens level_ = 0;

    bool operator==(const ShareOffer &) const = default;
};

// Returns what to give: the requester's part by demand, and more when its request is waiting.
// Guarantees 0 <= units_ <= own.units_ and 0 <= level_ <= min(own.level_, burst * units_), and that
// the level that stays fits into the units that stay. Thread-safe.
[[nodiscard]] ShareOffer decideOffer(const OwnShare &own, const ShareRequest &request,
                                     std::int64_t burst);

} // namespace foxtailturn
