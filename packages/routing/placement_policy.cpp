#include "routing/placement_policy.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <mutex>
#include <random>
#include <tuple>
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

// Position of a target in the rendezvous order of a seed: the larger, the earlier.
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

// Each adapter has one target; another only when that one is not usable.
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

// Chooses the target with the least expected wait: queue, plus load if the adapter is absent.
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
        return cheapest(request, targets, copies(request.adapter_, targets, now));
    }

private:
    using Cost = std::tuple<double, bool, std::uint64_t>;

    // Targets that should hold the adapter: enough that its share of each stays below half.
    std::size_t copies(const AdapterId &adapter, std::span<const TargetView> targets, TimePoint now)
    {
        const std::lock_guard lock(mutex_);
        popularity_.record(adapter, now);
        const double perSecond =
            popularity_.rate(adapter, now) * static_cast<double>(settings_.entries_);
        const double busy = perSecond * settings_.serviceSeconds_;
        const double perTarget = kShareOfTarget * static_cast<double>(targets.front().maxRunning_);
        const auto wanted = static_cast<std::size_t>(std::ceil(busy / perTarget));
        return std::clamp<std::size_t>(wanted, 1, targets.size());
    }

    std::size_t cheapest(const PlacementRequest &request, std::span<const TargetView> targets,
                         std::size_t copies) const
    {
        const std::uint64_t seed = AdapterIdHash()(request.adapter_);
        std::vector<std::size_t> order(targets.size());
        for (std::size_t i = 0; i < order.size(); ++i)
            order[i] = i;
        std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
            return rendezvousScore(seed, targets[a]) > rendezvousScore(seed, targets[b]);
        });
        const double loadCost = loadSeconds(targets);
        const double bound = loadBound(targets);
        std::size_t best = order.front();
        Cost bestCost{std::numeric_limits<double>::infinity(), true, 0};
        for (std::size_t rank = 0; rank < order.size(); ++rank) {
            const TargetView &target = targets[order[rank]];
            const Cost cost{
                seconds(request, target, rank, copies, loadCost, bound),
                target.info_.dataCentre_ != request.dataCentre_,
                rank,
            };
            if (cost < bestCost) {
                best = order[rank];
                bestCost = cost;
            }
        }
        return best;
    }

    double seconds(const PlacementRequest &request, const TargetView &target, std::size_t rank,
                   std::size_t copies, double loadCost, double bound) const
    {
        double cost = queueSeconds(target);
        if (!target.has(request.adapter_))
            cost += loadCost * (rank < copies ? 1 : kStrayCopyFactor);
        if (static_cast<double>(target.load_) + 1 > bound)
            cost += settings_.serviceSeconds_;
        return cost;
    }

    // Expected wait for a place among the running requests.
    double queueSeconds(const TargetView &target) const
    {
        const double over = relativeLoad(target) - 1;
        return over <= 0 ? 0 : over * settings_.serviceSeconds_;
    }

    // Expected time of one more load, given those in flight over all targets.
    double loadSeconds(std::span<const TargetView> targets) const
    {
        std::size_t inFlight = 1;
        for (const TargetView &target : targets)
            inFlight += target.loadsInFlight_;
        const double slowdown =
            static_cast<double>(inFlight) / static_cast<double>(settings_.fullSpeedLoads_);
        return settings_.loadSeconds_ * std::max(1.0, slowdown);
    }

    double loadBound(std::span<const TargetView> targets) const
    {
        double sum = 1;
        for (const TargetView &target : targets)
            sum += static_cast<double>(target.load_);
        return std::ceil(settings_.loadBound_ * sum / static_cast<double>(targets.size()));
    }

    // One adapter should not take more than this part of a target's running requests.
    static constexpr double kShareOfTarget = 0.5;
    // A copy outside the adapter's first targets also costs another adapter its slot.
    static constexpr double kStrayCopyFactor = 4;

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
