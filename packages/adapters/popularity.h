#pragma once

// Request rate of each adapter, measured by an exponentially decayed count that adapts to changes
// in demand.
//
//     Popularity popularity(std::chrono::minutes(2));
//     popularity.record(id, clock.now());
//     const double perSecond = popularity.rate(id, clock.now());

#include <cstddef>
#include <unordered_map>

#include "adapters/adapter_id.h"
#include "base/clock.h"

namespace foxtailturn {

// Not thread-safe.
class Popularity
{
public:
    // The weight of a use halves in each halfLife; halfLife > 0. Evicting the lowest rate is close
    // to least recently used with a short half-life, to least frequently used with a long one.
    explicit Popularity(Duration halfLife);

    // Counts one use.
    void record(const AdapterId &id, TimePoint now);

    // Returns the expected uses per second; 0 for an adapter never used or long idle.
    [[nodiscard]] double rate(const AdapterId &id, TimePoint now) const;

    // Returns the uses per second of all adapters together.
    [[nodiscard]] double totalRate(TimePoint now) const;

    // Returns the number of tracked adapters.
    [[nodiscard]] std::size_t size() const { return uses_.size(); }

private:
    struct Use
    {
        double count_ = 0; // as of at_
        TimePoint at_;
    };

    [[nodiscard]] double decayed(const Use &use, TimePoint now) const;
    void removeIdle(TimePoint now);

    Duration halfLife_;
    TimePoint nextRemovalAt_ = TimePoint::min();
    Use total_;
    std::unordered_map<AdapterId, Use, AdapterIdHash> uses_;
};

} // namespace foxtailturn
