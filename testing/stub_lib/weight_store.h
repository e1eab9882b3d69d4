#pragma once

// The rate limit of the weight store, shared by all loads in flight.
//
//     WeightStore store;
//     store.load(); // 0.25 s while at most 8 loads are in flight, proportionally longer beyond

#include <cstdint>
#include <mutex>

namespace foxtailturn {

// Delivers loads at a shared rate. Thread-safe.
class WeightStore
{
public:
    // Blocks until one adapter is delivered.
    void load();

    // Returns the largest number of loads in flight so far.
    [[nodiscard]] int maxInFlight() const;

private:
    double advance(double elapsedSeconds);

    mutable std::mutex mutex_;
    int inFlight_ = 0;
    int maxInFlight_ = 0;
};

} // namespace foxtailturn
