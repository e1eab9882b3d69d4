#pragma once

// Strategies that choose a target among the usable ones. Router uses one; routing_bench compares
// them.
//
//     std::unique_ptr<PlacementPolicy> policy = adapterAwarePlacement(PlacementSettings{});
//     const std::size_t index = policy->choose(request, targets, clock.now());

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "adapters/adapter_id.h"
#include "adapters/work_request.h"
#include "base/clock.h"
#include "routing/target_directory.h"

namespace foxtailturn {

struct PlacementRequest
{
    std::string group_;
    std::string dataCentre_; // of the entry; its targets are preferred among equally good ones
    AdapterId adapter_; // empty for the base model or a service without adapters
    Priority priority_ = Priority::Chat;
    // Hash of the prefix of a long prompt. Requests with the same hint prefer the same target among
    // those that have the adapter, since its engine may have the prefix in its cache. A cache miss
    // only costs time.
    std::optional<std::uint64_t> prefixHint_ = std::nullopt;

    bool operator==(const PlacementRequest &) const = default;
};

// Implementations are thread-safe.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    // Returns the index of the target to use. Precondition: targets is not empty. Thread-safe.
    [[nodiscard]] virtual std::size_t
    choose(const PlacementRequest &request, std::span<const TargetView> targets, TimePoint now) = 0;
};

struct PlacementSettings
{
    double loadBoundFactor_ = 1.25; // bound on a target's load, as a multiple of the mean load
    double serviceSeconds_ = 4; // mean run time of a request
    double loadSeconds_ = 0.25; // duration of an adapter load from an idle weight store
    // Concurrent loads, over all targets, before loads slow down.
    std::size_t maxFullSpeedLoads_ = 8;
    // Cost factor of a load that creates a copy beyond those that the adapter's popularity
    // justifies: it takes a slot from another adapter and competes with other loads for the weight
    // store. Batch requests may wait longer for a resident copy, so their factor is larger.
    double extraCopyCostFactor_ = 32;
    double batchExtraCopyCostFactor_ = 256;
    // Maximum fraction of a target's running requests that one adapter should use; above it, the
    // adapter gets another copy.
    double maxAdapterFraction_ = 0.25;
    std::size_t entries_ = 3; // number of entries that share the traffic
    Duration popularityHalfLife_ = std::chrono::minutes(2);

    bool operator==(const PlacementSettings &) const = default;
};

// Chooses the target with the least expected wait for queueing and loading the adapter. The number
// of copies follows the adapter's popularity; rendezvous hashing decides where they are and breaks
// ties; targets above a load bound are avoided.
[[nodiscard]] std::unique_ptr<PlacementPolicy>
adapterAwarePlacement(const PlacementSettings &settings);

// Baselines for comparison: a random target, the target with the least load relative to its
// capacity, and one fixed target per adapter.
[[nodiscard]] std::unique_ptr<PlacementPolicy> randomPlacement(std::uint64_t seed);
[[nodiscard]] std::unique_ptr<PlacementPolicy> leastLoadedPlacement();
[[nodiscard]] std::unique_ptr<PlacementPolicy> consistentHashPlacement();

} // namespace foxtailturn
