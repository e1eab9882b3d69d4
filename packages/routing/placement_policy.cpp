#include "routing/placement_policy.h"

#include <algorithm>
#include <cmath>
#include <mutex>
#include <random>
#include <tuple>
#include <utility>
#include <vector>

#include "adapters/popularity.h"
#include "base/hash.h"

namespace foxtailturn {

namespace {

double relativeLoad(const TargetView &target)
{
    return static_cast<double>(target.load_) / static_cast<double>(target.maxRunning_);
}

std::size_t leastLoaded(const PlacementRequest &request, std::span<const TargetView> targets)
{
    const auto key = [&](const TargetView &target) {
        return std::tuple(relativeLoad(target), target.info_.dataCentre_ != request.dataCentre_);
    };
    const auto best =
        std::min_element(targets.begin(), targets.end(),
                         [&](const TargetView &a, const TargetView &b) { return key(a) < key(b); });
    return static_cast<std::size_t>(best - targets.begin());
}

// Returns the rendezvous hash score of a target; targets are ordered by descending score.
std::uint64_t rendezvousScore(std::uint64_t seed, const TargetView &target)
{
    return hash64(target.info_.name_, seed);
}

class RandomPlacement final : public PlacementPolicy
{
public:
    explicit RandomPlacement(std::uint64_t seed)
        : engine_(seed)
    { }

    std::size_t choose(const PlacementRequest &, std::span<const TargetView> targets,
                       TimePoint) override
    {
        const std::lock_guard lock(mutex_);
        return std::uniform_int_distribution<std::size_t>(0, targets.size() - 1)(engine_);
    }

private:
    std::mutex mutex_;
    std::mt19937_64 engine_;
};

class LeastLoadedPlacement final : public PlacementPolicy
{
public:
    std::size_t choose(const PlacementRequest &request, std::span<const TargetView> targets,
                       TimePoint) override
    {
        return leastLoaded(request, targets);
    }
};

// Maps each adapter to one target by rendezvous hashing, and to the next if that one is unusable.
class ConsistentHashPlacement final : public PlacementPolicy
{
public:
    std::size_t choose(const PlacementRequest &request, std::span<const TargetView> targets,
                       TimePoint) override
    {
        const std::uint64_t seed = AdapterIdHash()(request.adapter_);
        const auto best = std::max_element(
            targets.begin(), targets.end(), [&](const TargetView &a, const TargetView &b) {
                return rendezvousScore(seed, a) < rendezvousScore(seed, b);
            });
        return static_cast<std::size_t>(best - targets.begin());
    }
};

// Chooses the target with the least expected wait: queueing, plus loading if the adapter is not
// resident.
class AdapterAwarePlacement final : public PlacementPolicy
{
public:
    explicit AdapterAwarePlacement(const PlacementSettings &settings)
        : settings_(settings)
        , popularity_(settings.popularityHalfLife_)
    { }

    std::size_t choose(const PlacementRequest &request, std::span<const TargetView> targets,
                       TimePoint now) override
    {
        if (request.adapter_.empty())
            return leastLoaded(request, targets);
        return leastCostTarget(request, targets, copyCount(request.adapter_, targets, now));
    }

private:
    // Expected wait in seconds; ties go to the entry's data centre, then to the lower rank in the
    // rendezvous order of the adapter. With a prefix hint, the order of the hint decides ties.
    using Cost = std::tuple<double, bool, std::uint64_t>;

    // Inputs of the cost function that are the same for all targets.
    struct CostInputs
    {
        const PlacementRequest &request_;
        // Number of first targets in rendezvous order that should have a copy.
        std::size_t preferredTargets_;
        double loadSeconds_; // cost of a load at one of these targets
        double extraLoadSeconds_; // cost of a load at any other target
        double bound_; // load above which a target's cost is increased
    };

    // Returns the number of targets that should have the adapter, so that it uses at most
    // maxAdapterFraction_ of each. Records the request in the adapter's popularity.
    std::size_t copyCount(const AdapterId &adapter, std::span<const TargetView> targets,
                          TimePoint now)
    {
        const std::lock_guard lock(mutex_);
        popularity_.record(adapter, now);
        const double requestsPerSecond =
            popularity_.rate(adapter, now) * static_cast<double>(settings_.entries_);
        const double concurrency = requestsPerSecond * settings_.serviceSeconds_;
        const double concurrencyPerTarget =
            settings_.maxAdapterFraction_ * static_cast<double>(targets.front().maxRunning_);
        const auto wanted = static_cast<std::size_t>(std::ceil(concurrency / concurrencyPerTarget));
        return std::clamp<std::size_t>(wanted, 1, targets.size());
    }

    std::size_t leastCostTarget(const PlacementRequest &request,
                                std::span<const TargetView> targets, std::size_t copyCount) const
    {
        const std::vector<std::size_t> order = rendezvousOrder(request.adapter_, targets);
        const CostInputs inputs = costInputs(request, targets, copyCount);
        std::size_t best = order.front();
        Cost bestCost = costOf(inputs, targets[best], 0);
        for (std::size_t rank = 1; rank < order.size(); ++rank) {
            const Cost cost = costOf(inputs, targets[order[rank]], rank);
            if (cost < bestCost) {
                best = order[rank];
                bestCost = cost;
            }
        }
        return best;
    }

    static std::vector<std::size_t> rendezvousOrder(const AdapterId &adapter,
                                                    std::span<const TargetView> targets)
    {
        const std::uint64_t seed = AdapterIdHash()(adapter);
        std::vector<std::pair<std::uint64_t, std::size_t>> scores(targets.size());
        for (std::size_t i = 0; i < targets.size(); ++i)
            scores[i] = {rendezvousScore(seed, targets[i]), i};
        std::sort(scores.rbegin(), scores.rend());
        std::vector<std::size_t> order(targets.size());
        std::transform(scores.begin(), scores.end(), order.begin(),
                       [](const auto &score) { return score.second; });
        return order;
    }

    CostInputs costInputs(const PlacementRequest &request, std::span<const TargetView> targets,
                          std::size_t copyCount) const
    {
        const bool batch = request.priority_ == Priority::Batch;
        const double factor =
            batch ? settings_.batchExtraCopyCostFactor_ : settings_.extraCopyCostFactor_;
        const double load = loadSeconds(targets);
        return CostInputs{.request_ = request,
                          .preferredTargets_ = copyCount,
                          .loadSeconds_ = load,
                          .extraLoadSeconds_ = load * factor,
                          .bound_ = loadBound(targets)};
    }

    Cost costOf(const CostInputs &inputs, const TargetView &target, std::size_t rank) const
    {
        const PlacementRequest &request = inputs.request_;
        double seconds = queueSeconds(target);
        if (static_cast<double>(target.load_) + 1 > inputs.bound_)
            seconds += settings_.serviceSeconds_;
        if (!target.has(request.adapter_)) {
            seconds +=
                rank < inputs.preferredTargets_ ? inputs.loadSeconds_ : inputs.extraLoadSeconds_;
            // The data centre is ignored so that all entries load the adapter at the same target.
            return Cost{seconds, false, rank};
        }
        if (request.prefixHint_)
            return Cost{seconds, false, ~rendezvousScore(*request.prefixHint_, target)};
        return Cost{seconds, target.info_.dataCentre_ != request.dataCentre_, rank};
    }

    // Returns the expected wait until the target can run one more request.
    double queueSeconds(const TargetView &target) const
    {
        const auto capacity = static_cast<double>(target.maxRunning_);
        const double excess =
            static_cast<double>(target.load_) + 1 - kQueueingUtilization * capacity;
        return std::max(0.0, excess) / capacity * settings_.serviceSeconds_;
    }

    // Returns the expected duration of one more load, given the loads in flight at all targets.
    double loadSeconds(std::span<const TargetView> targets) const
    {
        std::size_t inFlight = 1;
        for (const TargetView &target : targets)
            inFlight += target.loadsInFlight_;
        const double slowdown =
            static_cast<double>(inFlight) / static_cast<double>(settings_.maxFullSpeedLoads_);
        return settings_.loadSeconds_ * std::max(1.0, slowdown);
    }

    // Returns the load above which a target's cost increases by one service time: a multiple of the
    // mean load, but at least the number of requests that a target can run.
    double loadBound(std::span<const TargetView> targets) const
    {
        double sum = 1;
        for (const TargetView &target : targets)
            sum += static_cast<double>(target.load_);
        const double mean = sum / static_cast<double>(targets.size());
        return std::max(std::ceil(settings_.loadBoundFactor_ * mean),
                        static_cast<double>(targets.front().maxRunning_));
    }

    // Load reports lag, so queueing is assumed to start before the target reaches maxRunning_.
    static constexpr double kQueueingUtilization = 0.85;
    const PlacementSettings settings_;
    std::mutex mutex_;
    Popularity popularity_;
};

} // namespace

std::unique_ptr<PlacementPolicy> adapterAwarePlacement(const PlacementSettings &settings)
{
    return std::make_unique<AdapterAwarePlacement>(settings);
}

std::unique_ptr<PlacementPolicy> randomPlacement(std::uint64_t seed)
{
    return std::make_unique<RandomPlacement>(seed);
}

std::unique_ptr<PlacementPolicy> leastLoadedPlacement()
{
    return std::make_unique<LeastLoadedPlacement>();
}

std::unique_ptr<PlacementPolicy> consistentHashPlacement()
{
    return std::make_unique<ConsistentHashPlacement>();
}

} // namespace foxtailturn
