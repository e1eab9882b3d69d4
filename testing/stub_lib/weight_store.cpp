#include "stub_lib/weight_store.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace foxtailturn {

namespace {

// Figures of the weight store, docs/design.md section 1.
constexpr double kLoadSeconds = 0.25;
constexpr double kFullSpeedLoads = 8;

// Loads share the rate in steps, so that a load speeds up as soon as others end.
constexpr auto kStep = std::chrono::milliseconds(5);

} // namespace

void WeightStore::load()
{
    {
        const std::lock_guard lock(mutex_);
        ++inFlight_;
        maxInFlight_ = std::max(maxInFlight_, inFlight_);
    }
    double remaining = kLoadSeconds;
    auto last = std::chrono::steady_clock::now();
    while (remaining > 0) {
        std::this_thread::sleep_for(kStep);
        const auto now = std::chrono::steady_clock::now();
        remaining -= advance(std::chrono::duration<double>(now - last).count());
        last = now;
    }
    const std::lock_guard lock(mutex_);
    --inFlight_;
}

int WeightStore::maxInFlight() const
{
    const std::lock_guard lock(mutex_);
    return maxInFlight_;
}

double WeightStore::advance(double elapsedSeconds)
{
    const std::lock_guard lock(mutex_);
    return elapsedSeconds * std::min(1.0, kFullSpeedLoads / inFlight_);
}

} // namespace foxtailturn
