// Compares placement policies on the same synthetic traffic, in virtual time.
// Usage: routing_bench [ENGINES [SLOTS [SEED [PLACEMENT]]]]

#include <cstdio>
#include <cstdlib>

#include "routing/bench_fleet.h"

namespace foxtailturn::bench {
namespace {

struct Contender
{
    const char *name_;
    std::unique_ptr<PlacementPolicy> (*makePlacement_)(int entry);
    KeepValue (*keepValue_)();
};

std::unique_ptr<PlacementPolicy> makeRandom(int entry)
{
    return randomPlacement(static_cast<std::uint64_t>(entry) + 7);
}

std::unique_ptr<PlacementPolicy> makeLeastLoaded(int)
{
    return leastLoadedPlacement();
}

std::unique_ptr<PlacementPolicy> makeConsistentHash(int)
{
    return consistentHashPlacement();
}

std::unique_ptr<PlacementPolicy> makeAdapterAware(int)
{
    return adapterAwarePlacement(PlacementSettings{});
}

// The baselines evict the least recently used (lru) adapter. hash+leu and ours+lru differ from hash
// and ours only in the eviction policy of the agents; ours evicts by least expected use (leu).
constexpr Contender kContenders[] = {
    {"random", makeRandom, leastRecentlyUsed},
    {"least-loaded", makeLeastLoaded, leastRecentlyUsed},
    {"hash", makeConsistentHash, leastRecentlyUsed},
    {"hash+leu", makeConsistentHash, leastExpectedUse},
    {"ours+lru", makeAdapterAware, leastRecentlyUsed},
    {"ours", makeAdapterAware, leastExpectedUse},
};

void print(const char *name, const FleetResult &r)
{
    std::printf("%-13s %6.0f %6.0f %6.0f %6.3f %6.3f %6.1f %5.2f %5.1f ", name,
                r.stallsPerThousand_, r.preFloodStallsPerThousand_, r.chatStallsPerThousand_,
                r.stallP50_, r.stallP99_, r.loadsPerSecond_, r.batchFill_, r.adaptersPerBatch_);
    for (const double p99 : r.chatWaitP99_)
        std::printf("%6.2f", p99);
    std::printf(" |");
    for (const double p99 : r.floodWaitP99_)
        std::printf("%6.2f", p99);
    std::printf(" %6.2f %5d %6d\n", r.maxOverMedianFloodWait_, r.shed_, r.floodShed_);
}

// Runs the contender named only, or all if only is empty, and prints the results.
void compare(int engines, std::size_t slots, std::uint64_t seed, const std::string &only)
{
    TrafficSettings traffic;
    traffic.requestsPerSecond_ = 40.0 * engines / 12;
    traffic.seed_ = seed;
    const std::vector<Arrival> arrivals = makeTraffic(traffic);
    std::printf("\n%d engines, %zu slots, %.0f requests/s, seed %llu, %zu requests\n", engines,
                slots, traffic.requestsPerSecond_, static_cast<unsigned long long>(seed),
                arrivals.size());
    std::printf(
        "              st/1k  calm   chat   p50    p99  load/s  fill distinct  chat wait p99 by "
        "workspace       | in flood (third floods)     worst/med shed flood\n");
    for (const Contender &contender : kContenders) {
        if (!only.empty() && only != contender.name_)
            continue;
        FleetSettings fleet;
        fleet.engines_ = engines;
        fleet.agent_.slots_ = slots;
        fleet.placement_ = contender.makePlacement_;
        fleet.keepValue_ = contender.keepValue_();
        print(contender.name_, runFleet(fleet, traffic, arrivals));
    }
    std::printf(
        "%-13s %6.0f (clairvoyant loads, all slots in one pool)\n", "floor",
        clairvoyantLoads(arrivals, slots * static_cast<std::size_t>(engines), traffic.warmUp_));
}

} // namespace
} // namespace foxtailturn::bench

int main(int argc, char **argv)
{
    const int engines = argc > 1 ? std::atoi(argv[1]) : 12;
    const std::size_t slots = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 32;
    const std::uint64_t seed = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 1;
    foxtailturn::bench::compare(engines, slots, seed, argc > 4 ? argv[4] : "");
    return 0;
}
