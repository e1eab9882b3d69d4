#pragma once

// Decides who goes next among requests that wait for the same room.
//
//     std::vector<Claim> claims = {{.rank_ = 1, .dueAt_ = soon, .number_ = 7}, ...};
//     for (const Claim &claim : inOrder(std::move(claims), now)) { ... }
//
// The lower rank goes first. Among equal ranks, those that can still meet their objective go before
// those that can't, the one that is due first before the others. Every kPlacesPerOldest-th place is
// for the one that has waited longest whatever its rank, so that none waits for ever.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace foxtailturn::admission {

struct Claim
{
    int rank_ = 0; // 0 is the most urgent
    TimePoint dueAt_{}; // when its objective ends
    std::uint64_t number_ = 0; // of its arrival; unique

    bool operator==(const Claim &) const = default;
};

inline constexpr std::size_t kPlacesPerOldest = 4;

// Returns the claims in the order in which they go. Thread-safe.
[[nodiscard]] std::vector<Claim> inOrder(std::vector<Claim> claims, TimePoint now);

} // namespace foxtailturn::admission
