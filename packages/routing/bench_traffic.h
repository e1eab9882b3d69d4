#pragma once

// Seeded traffic for routing_bench: the same requests for each placement that is compared.

#include <cstdint>
#include <string>
#include <vector>

#include "adapters/work_request.h"

namespace foxtailturn::bench {

constexpr int kWorkspaces = 5;
constexpr double kShares[kWorkspaces] = {0.40, 0.25, 0.20, 0.10, 0.05};
constexpr int kFlooder = 2; // this workspace sends kFloodFactor times its share
constexpr double kFloodFactor = 5;
constexpr int kAdapters = 3000;

struct TrafficSettings
{
    double requestsPerSecond_ = 40;
    double seconds_ = 900;
    double warmUp_ = 200; // not measured
    double shiftAt_ = 450; // 19% of the adapters trade their popularity with others
    double restartAt_ = 700; // one engine restarts cold
    double floodFrom_ = 780;
    double floodTo_ = 880;
    std::uint64_t seed_ = 1;
};

struct Arrival
{
    double at_ = 0;
    int workspace_ = 0;
    int adapter_ = 0;
    Priority priority_ = Priority::Chat;
    double serviceSeconds_ = 1;
};

// Returns the requests in order of time. Popularity is Zipf with exponent 1 in each workspace.
[[nodiscard]] std::vector<Arrival> makeTraffic(const TrafficSettings &settings);

// Returns the least number of loads per thousand measured requests that any eviction can reach
// with all slots in one pool: clairvoyant, instant loads, no pins.
[[nodiscard]] double clairvoyantLoads(const std::vector<Arrival> &traffic, std::size_t slots,
                                      double warmUp);

} // namespace foxtailturn::bench
