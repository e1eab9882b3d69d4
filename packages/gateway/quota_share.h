#pragma once

// A token bucket with a part of a workspace's rate and burst, and a measure of the demand for it.
//
//     QuotaShare share(clock.now());
//     share.setQuota(quota, clock.now());
//     share.setUnits(QuotaShare::kTotalUnits / 4, clock.now());   // a quarter of rate and burst
//     if (!share.take(2'000, clock.now()))
//         refuseUntil(share.availableAt(2'000, clock.now()));

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "gateway/serving_config.h"

namespace foxtailturn::gateway {

// One entry's part of one workspace's quota. Not thread-safe.
class QuotaShare
{
public:
    // Units of a whole quota.
    static constexpr std::int64_t kTotalUnits = 1'000'000;
    // Time in which the demand follows a change to two thirds.
    static constexpr Duration kDemandWindow = std::chrono::seconds(2);

    explicit QuotaShare(TimePoint now)
        : refilledAt_(now)
        , measuredAt_(now)
    { }

    void setQuota(const TokenQuota &quota, TimePoint now);
    void setUnits(std::int64_t units, TimePoint now);

    // Sets the tokens by which the level may fall below zero. A debt is paid from the refill, so
    // the rate holds over time; it lets a small share serve two large requests in a row.
    void setTolerance(std::int64_t tokens) { tolerance_ = static_cast<double>(tokens); }

    // Sets whether a charge above level and tolerance is taken at a full level.
    void setOverdraft(bool isAllowed) { hasOverdraft_ = isAllowed; }

    [[nodiscard]] std::int64_t units() const { return units_; }

    // Takes the charge if level and tolerance hold it, and never while there is a debt. A charge
    // above both needs a full level and leaves a larger debt, where that is allowed: a small share
    // must not refuse a large request for good.
    [[nodiscard]] bool take(std::int64_t charge, TimePoint now);

    // Gives back a charge whose request certainly did not run.
    void giveBack(std::int64_t charge, TimePoint now);

    // Returns when take() can succeed; nullopt when the share has no units or never holds as much.
    [[nodiscard]] std::optional<TimePoint> availableAt(std::int64_t charge, TimePoint now);

    // Counts a charge that was asked for, admitted or not.
    void count(std::int64_t charge, TimePoint now);

    // Returns the tokens asked for per second of late.
    [[nodiscard]] double demand(TimePoint now);

private:
    [[nodiscard]] double rate() const; // tokens per second
    [[nodiscard]] double capacity() const;
    [[nodiscard]] double neededLevel(std::int64_t charge) const; // tokens
    void refill(TimePoint now);
    void decay(TimePoint now);

    TokenQuota quota_;
    std::int64_t units_ = 0;
    double tolerance_ = 0; // tokens
    bool hasOverdraft_ = true;
    double level_ = 0; // tokens; negative is a debt
    TimePoint refilledAt_;
    double demand_ = 0; // tokens per second
    TimePoint measuredAt_;
};

} // namespace foxtailturn::gateway
