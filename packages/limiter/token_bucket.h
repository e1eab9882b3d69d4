#pragma once

// Token bucket that enforces one holder's share of a workspace's rate and burst. Shares are
// measured in units.
//
//     TokenBucket bucket({.rate_ = 1000, .burst_ = 5000}, clock.now());
//     bucket.addUnits(kTotalUnits / 2, 0, clock.now());   // 500 tokens/s, burst 2500, empty
//     if (bucket.take(id, 20 * kMicroTokensPerToken, clock.now()))
//         bucket.settle(id, 15 * kMicroTokensPerToken, clock.now()); // 5 tokens were used
//
// All arithmetic is on integers and rounds down. One token per second is one micro-token per
// microsecond, so refill is rate * units * microseconds / kTotalUnits, and the capacity of u units
// is burst * u micro-tokens exactly.

#include <cstdint>
#include <map>

#include "base/clock.h"

namespace foxtailturn {

using MicroTokens = std::int64_t;

constexpr MicroTokens kMicroTokensPerToken = 1'000'000;
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
    // Creates a bucket without units and without tokens.
    TokenBucket(WorkspaceLimit limit, TimePoint now);

    [[nodiscard]] std::int64_t units() const { return units_; }
    [[nodiscard]] const WorkspaceLimit &limit() const { return limit_; }
    [[nodiscard]] MicroTokens capacity() const { return limit_.burst_ * units_; }

    // Returns the fill level: the tokens available at now.
    MicroTokens level(TimePoint now);

    // Changes rate and burst. Tokens above the new capacity are discarded; none are added.
    void setLimit(WorkspaceLimit limit, TimePoint now);

    // Adds units that bring level tokens with them. Tokens above the capacity are discarded.
    void addUnits(std::int64_t units, MicroTokens level, TimePoint now);

    // Removes units and level tokens with them. Preconditions: units <= units(),
    // level <= level(now), level <= burst * units. Remaining tokens above the smaller capacity are
    // discarded.
    void removeUnits(std::int64_t units, MicroTokens level, TimePoint now);

    // Charges amount if that many tokens are available; returns whether it did. id identifies the
    // charge in settle() and must be larger than all earlier ids.
    bool take(std::uint64_t id, MicroTokens amount, TimePoint now);

    // Closes the charge and refunds up to refund of it. The refund is smaller if refill has already
    // replaced charged tokens: otherwise a caller could hold back refunds while the bucket fills
    // and then spend more than the burst at once.
    void settle(std::uint64_t id, MicroTokens refund, TimePoint now);

    // Returns when refill alone will make amount available; TimePoint::max() if never.
    [[nodiscard]] TimePoint availableAt(MicroTokens amount, TimePoint now);

private:
    void refill(TimePoint now);
    void dropOverflow();

    WorkspaceLimit limit_;
    std::int64_t units_ = 0;
    MicroTokens level_ = 0;
    std::int64_t remainder_ = 0; // remainder of refill in units of 1e-6 micro-tokens, below 1e6
    TimePoint refilledAt_;
    // Refundable amount of each open charge, oldest first. The level plus their sum never exceeds
    // the capacity.
    std::map<std::uint64_t, MicroTokens> refundableCharges_;
    MicroTokens refundableSum_ = 0;
};

} // namespace foxtailturn
