#pragma once

// Chooses the target for a request and counts the requests in flight per target.
//
//     TargetDirectory directory(clock);
//     Router router(clock, directory, adapterAwarePlacement(PlacementSettings{}));
//     std::set<std::string> tried;
//     Result<Placement> placement = router.choose(request, tried);
//     if (!placement)
//         return tl::unexpected(placement.error()); // NoTarget, NotRun, retryAt_
//     tried.insert(placement->target().name_);
//     ... execute; on a NotRun error choose again with tried ...
//
// The request counts as in flight at the target during the lifetime of the Placement.

#include <memory>
#include <set>
#include <string>

#include "base/error.h"
#include "routing/placement_policy.h"
#include "routing/target_directory.h"

namespace foxtailturn {

// A chosen target. Movable; the destructor removes the request from the target's count of requests
// in flight. Must not outlive the directory.
class Placement
{
public:
    Placement(TargetDirectory &directory, TargetInfo target, const AdapterId &adapter);
    Placement(Placement &&other) noexcept;
    Placement &operator=(Placement &&other) noexcept;
    Placement(const Placement &) = delete;
    Placement &operator=(const Placement &) = delete;
    ~Placement();

    // Returns the chosen target. Thread-safe.
    [[nodiscard]] const TargetInfo &target() const { return target_; }

private:
    void end();

    TargetDirectory *directory_;
    TargetInfo target_;
};

// Thread-safe.
class Router
{
public:
    // clock and directory must outlive this object.
    Router(const Clock &clock, TargetDirectory &directory, std::unique_ptr<PlacementPolicy> policy);

    // Chooses among the usable targets of the request's group that are not in excluded (names of
    // targets already tried). Error: NoTarget, NotRun, with retryAt_. Thread-safe.
    [[nodiscard]] Result<Placement> choose(const PlacementRequest &request,
                                           const std::set<std::string> &excluded);

private:
    const Clock &clock_;
    TargetDirectory &directory_;
    std::unique_ptr<PlacementPolicy> policy_;
};

} // namespace foxtailturn
