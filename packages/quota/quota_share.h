#pragma once

// A token bucket with a share of a workspace's rate and burst.
//
//     QuotaShare share(clock.now());
//     share.setQuota(quota, clock.now());
//     share.setUnits(QuotaShare::kTotalUnits / 4, clock.now());   // a quarter of rate and burst
//     if (!share.take(2'000, clock.now()))
//         refuseUntil(share.availableAt(2'000, clock.now()));

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "quota/token_quota.h"

namespace foxtailturn::quota {

// A share of one workspace's quota. Not thread-safe.
class QuotaShare
{
public:
    // Units that make up a whole quota.
    static constexpr std::int64_t kTotalUnits = 1'000'000;

    explicit QuotaShare(TimePoint now)
        : refilledAt_(now)
    { }

    void setQuota(const TokenQuota &quota, TimePoint now);
    void setUnits(std::int64_t units, TimePoint now);

    // Sets by how many tokens the level may fall below zero. The refill repays this debt, so the
    // rate still holds over time. A debt lets a small share serve two large requests in a row.
    void setTolerance(std::int64_t tokens) { tolerance_ = static_cast<double>(tokens); }

    [[nodiscard]] std::int64_t units() const { return units_; }

    // Adds what the share gains in this time, up to its capacity: for a share in whose name nobody
    // has taken anything for so long.
    void addUnused(Duration time);

    // Takes the charge if level and tolerance cover it, and never while the level is negative. A
    // charge above capacity and tolerance is taken from a full bucket and leaves a larger debt: a
    // small share must not refuse a large request forever.
    [[nodiscard]] bool take(std::int64_t charge, TimePoint now);

    // Refunds a charge whose request certainly did not run.
    void refund(std::int64_t charge, TimePoint now);

    // Returns when take() can succeed; nullopt if the share has no rate.
    [[nodiscard]] std::optional<TimePoint> availableAt(std::int64_t charge, TimePoint now);

private:
    [[nodiscard]] double rate() const; // tokens per second
    [[nodiscard]] double capacity() const;
    [[nodiscard]] double neededLevel(std::int64_t charge) const; // tokens
    void refill(TimePoint now);

    TokenQuota quota_;
    std::int64_t units_ = 0;
    double tolerance_ = 0; // tokens
    double level_ = 0; // tokens; negative while in debt
    TimePoint refilledAt_;
};

} // namespace foxtailturn::quota
