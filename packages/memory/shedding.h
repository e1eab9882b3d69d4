#pragma once

// Chooses which caller gives way when a process holds too many bytes for others.
//
//     const std::optional<std::size_t> index = chooseToShed(holders, clock.now());
//     if (index)
//         connections[*index]->refuse();

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace foxtailturn::memory {

// What is held for one caller that may give way.
struct Holder
{
    std::string owner_ = {}; // workspace, or address if that is not known
    std::size_t bytes_ = 0;
    TimePoint progressAt_{}; // when bytes last came or went, or when reading was paused
    TimePoint beganAt_{};
    bool isUnfinished_ = true; // a request that is being read, rather than an unread answer

    bool operator==(const Holder &) const = default;
};

// Without progress for this long, a holder counts as stalled.
constexpr Duration kStallTime = std::chrono::milliseconds(500);

// Returns the index of the holder to shed, or nothing if nobody holds any bytes. Unfinished
// requests go before unread answers, whose requests have run. Of these, the owner that holds most
// in all gives way first; among its holders the stalled ones, then the largest, then the oldest.
// Thread-safe.
[[nodiscard]] std::optional<std::size_t> chooseToShed(const std::vector<Holder> &holders,
                                                      TimePoint now);

} // namespace foxtailturn::memory
