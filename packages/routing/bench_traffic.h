#pragma once

// Synthetic traffic for routing_bench. The seed determines it, so that all placement policies are
// compared on the same requests.

#include <cstdint>
#include <string>
#include <vector>

#include "adapters/work_request.h"

namespace foxtailturn::bench {

constexpr int kWorkspaces = 5;
constexpr double kTrafficShares[kWorkspaces] = {0.40, 0.25, 0.20, 0.10, 0.05};
constexpr int kFloodWorkspace = 2; // this workspace sends kFloodFactor times its share
constexpr double kFloodFactor = 5;
constexpr int kAdapters = 3000;

struct TrafficSettings
{
    double requestsPerSecond_ = 40;
    double seconds_ = 900;
    double warmUp_ = 200; // seconds at the start that are not measured
    double shiftAt_ = 450; // 19% of the adapters swap their popularity with others
    double restartAt_ = 700; // one engine restarts without adapters
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

// Returns the requests in order of time. The popularity of the adapters of each workspace follows
// a Zipf distribution with exponent 1.
[[nodiscard]] std::vector<Arrival> makeTraffic(const TrafficSettings &settings);

// Returns a lower bound on the loads per thousand measured requests for any eviction policy: the
// loads under optimal offline eviction (Belady's algorithm) with all slots in one pool, instant
// loads and no pinned adapters.
[[nodiscard]] double clairvoyantLoads(const std::vector<Arrival> &traffic, std::size_t slots,
                                      double warmUp);

} // namespace foxtailturn::bench
