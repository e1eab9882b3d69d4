#pragma once

// Simulation of entries, agents, engines and the weight store in virtual time, for routing_bench.

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
    double stallsPerThousand_ = 0; // stalled: the request waited for an adapter load
    double preFloodStallsPerThousand_ = 0; // per thousand requests that arrived before the flood
    double chatStallsPerThousand_ = 0; // per thousand chat requests
    double stallP50_ = 0; // seconds
    double stallP99_ = 0;
    double loadsPerSecond_ = 0;
    double batchFill_ = 0; // running requests over maxRunning_, time average while not idle
    double adaptersPerBatch_ = 0; // distinct adapters among running requests, same average
    double chatWaitP99_[kWorkspaces] = {}; // seconds from arrival to start, whole run
    double floodWaitP99_[kWorkspaces] = {}; // the same for chat requests during the flood
    double maxOverMedianFloodWait_ = 0; // of floodWaitP99_ without kFloodWorkspace
    int shed_ = 0; // requests that were never run, without those of kFloodWorkspace
    int floodShed_ = 0; // the same, for kFloodWorkspace
};

// Runs the traffic through a simulated fleet and returns the results.
[[nodiscard]] FleetResult runFleet(const FleetSettings &settings, const TrafficSettings &traffic,
                                   const std::vector<Arrival> &arrivals);

} // namespace foxtailturn::bench
