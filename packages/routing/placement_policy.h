#pragma once

// Strategies that choose a target among the usable ones. Router uses one; benches compare them.
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
    std::string dataCentre_; // of the entry; targets there are preferred among equals
    AdapterId adapter_; // empty: base model or plain service
    Priority priority_ = Priority::Chat;
    // Hash of the beginning of a long prompt. Requests with the same hint prefer the same copy,
    // where the engine's prefix cache may have it. A wrong guess costs time only.
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
    double loadBound_ = 1.25; // a full target may exceed the mean load by this factor
    double serviceSeconds_ = 4; // mean run time of a request
    double loadSeconds_ = 0.25; // one adapter load while the weight store is not busy
    std::size_t fullSpeedLoads_ = 8; // loads in flight, over all targets, at full speed
    // Weight of a load that makes one more copy than popularity asks for: it takes a slot from
    // another adapter and a place at the weight store from other requests. Batch may wait longer
    // for a resident copy, so its weight is larger.
    double extraCopyFactor_ = 32;
    double batchExtraCopyFactor_ = 256;
    // One adapter should not take more than this part of a target's running requests; beyond, it
    // gets another copy.
    double shareOfTarget_ = 0.25;
    std::size_t entries_ = 3; // entries among which the traffic is spread
    Duration popularityHalfLife_ = std::chrono::minutes(2);

    bool operator==(const PlacementSettings &) const = default;
};

// Rendezvous order, resident copies first, bounded load, copies by popularity, waiting weighed
// against loading.
[[nodiscard]] std::unique_ptr<PlacementPolicy>
adapterAwarePlacement(const PlacementSettings &settings);

// Baselines.
[[nodiscard]] std::unique_ptr<PlacementPolicy> randomPlacement(std::uint64_t seed);
[[nodiscard]] std::unique_ptr<PlacementPolicy> leastLoadedPlacement();
[[nodiscard]] std::unique_ptr<PlacementPolicy> consistentHashPlacement();

} // namespace foxtailturn
