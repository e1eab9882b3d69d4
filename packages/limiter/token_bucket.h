#pragma once

// The bucket of one holder: a part of a workspace's rate and burst, measured in units.
//
//     TokenBucket bucket({.rate_ = 1000, .burst_ = 5000}, clock.now());
//     bucket.addUnits(kTotalUnits / 2, 0, clock.now());   // 500 tokens/s, burst 2500, empty
//     if (bucket.take(id, 20 * kMicroPerToken, clock.now()))
//         bucket.settle(id, 15 * kMicroPerToken, clock.now()); // 5 tokens were used
//
// All arithmetic is on integers and rounds down. One token per second is one micro-token per
// microsecond, so refill is rate * units * microseconds / kTotalUnits, and the capacity of u units
// is burst * u micro-tokens exactly.

#include <cstdint>
#include <map>

#include "base/clock.h"

namespace foxtailturn {

using MicroTokens = std::int64_t;

constexpr MicroTokens kMicroPerToken = 1'000'000;
constexpr std::int64_t kTotalUnits = 1'000'000; // units of one workspace over the whole fleet
// Largest rate and burst; keeps burst * kTotalUnits within 64 bits.
constexpr std::int64_t kMaxLimit = 1'000'000'000'000;

// Rate and burst of a workspace over the whole fleet. Precondition: both from 1 to kMaxLimit.
struct WorkspaceLimit
{
    std::int64_t rate_ = 1; // tokens per second
    std::int64_t burst_ = 1; // tokens

    bool operator==(const WorkspaceLimit &) const = default;
};

// Not thread-safe. Calls pass the time of a clock that never decreases.
class TokenBucket
{
public:
    // Starts with no units and no level.
    TokenBucket(WorkspaceLimit limit, TimePoint now);

    [[nodiscard]] std::int64_t units() const { return units_; }
    [[nodiscard]] const WorkspaceLimit &limit() const { return limit_; }
    [[nodiscard]] MicroTokens capacity() const { return limit_.burst_ * units_; }

    // Returns the tokens that can be spent now.
    MicroTokens level(TimePoint now);

    // Changes rate and burst. Tokens above the new capacity are dropped; none are added.
    void setLimit(WorkspaceLimit limit, TimePoint now);

    // Adds units with a level. Level above the capacity is dropped.
    void addUnits(std::int64_t units, MicroTokens level, TimePoint now);

    // Removes units together with a level. Preconditions: units <= units(), level <= level(now),
    // level <= burst * units. What remains above the smaller capacity is dropped.
    void removeUnits(std::int64_t units, MicroTokens level, TimePoint now);

    // Spends amount if the level suffices. id names the charge for settle() and must be larger
    // than all earlier ids.
    bool take(std::uint64_t id, MicroTokens amount, TimePoint now);

    // Ends the charge and returns up to refund of it to the level. Less is returned when refill has
    // taken the place of the charge in the bucket meanwhile; otherwise a caller could save up
    // refunds of old charges beside a full bucket and then spend more than the burst at once.
    void settle(std::uint64_t id, MicroTokens refund, TimePoint now);

    // Returns when the level will reach amount by refill alone; TimePoint::max() if never.
    [[nodiscard]] TimePoint availableAt(MicroTokens amount, TimePoint now);

private:
    void refill(TimePoint now);
    void dropOverflow();

    WorkspaceLimit limit_;
    std::int64_t units_ = 0;
    MicroTokens level_ = 0;
    std::int64_t carry_ = 0; // millionths of a micro-token, always below one micro-token
    TimePoint refilledAt_;
    // Open charges that can still be returned, oldest first. Level plus their sum never exceeds the
    // capacity.
    std::map<std::uint64_t, MicroTokens> refundable_;
    MicroTokens refundableSum_ = 0;
};

} // namespace foxtailturn
