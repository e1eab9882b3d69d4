#pragma once

// Entries, agents, engines and the weight store of routing_bench in virtual time.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "adapters/agent_core.h"
#include "routing/bench_traffic.h"
#include "routing/router.h"

namespace foxtailturn::bench {

struct FleetSettings
{
    int engines_ = 12;
    int entries_ = 3;
    AgentSettings agent_;
    std::function<std::unique_ptr<PlacementPolicy>(int entry)> placement_;
    KeepValue keepValue_;
};

struct FleetResult
{
    double stallsPerThousand_ = 0;
    double calmStallsPerThousand_ = 0; // of requests before the flood
    double chatStallsPerThousand_ = 0; // of chat requests
    double stallP50_ = 0; // seconds
    double stallP99_ = 0;
    double loadsPerSecond_ = 0;
    double batchFill_ = 0; // running over places, time average
    double adaptersPerBatch_ = 0;
    double chatWaitP99_[kWorkspaces] = {}; // seconds to the start, whole run
    double floodWaitP99_[kWorkspaces] = {}; // chat during the flood
    double worstOverMedian_ = 0; // of floodWaitP99_ without the flooder
    int shed_ = 0; // refused for good, flooder excluded
    int floodShed_ = 0; // of the flooder
};

// Runs the traffic to its end.
[[nodiscard]] FleetResult runFleet(const FleetSettings &settings, const TrafficSettings &traffic,
                                   const std::vector<Arrival> &arrivals);

} // namespace foxtailturn::bench
