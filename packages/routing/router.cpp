#include "routing/router.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace foxtailturn {

Placement::Placement(TargetDirectory &directory, TargetInfo target, const AdapterId &adapter)
    : directory_(&directory)
    , target_(std::move(target))
{
    directory_->begin(target_.name_, adapter);
}

Placement::Placement(Placement &&other) noexcept
    : directory_(std::exchange(other.directory_, nullptr))
    , target_(std::move(other.target_))
{ }

Placement &Placement::operator=(Placement &&other) noexcept
{
    if (this != &other) {
        end();
        directory_ = std::exchange(other.directory_, nullptr);
        target_ = std::move(other.target_);
    }
    return *this;
}

Placement::~Placement()
{
    end();
}

void Placement::end()
{
    if (directory_ != nullptr)
        directory_->end(target_.name_);
    directory_ = nullptr;
}

Router::Router(const Clock &clock, TargetDirectory &directory,
               std::unique_ptr<PlacementPolicy> policy)
    : clock_(clock)
    , directory_(directory)
    , policy_(std::move(policy))
{ }

Result<Placement> Router::choose(const PlacementRequest &request,
                                 const std::set<std::string> &excluded)
{
    std::vector<TargetView> targets = directory_.usable(request.group_);
    std::erase_if(targets,
                  [&](const TargetView &target) { return excluded.contains(target.info_.name_); });
    if (targets.empty())
        return notRun(ErrorCode::NoTarget, "no usable target in group " + request.group_,
                      directory_.retryAt(request.group_));
    const std::size_t index = policy_->choose(request, targets, clock_.now());
    return Placement(directory_, targets[index].info_, request.adapter_);
}

} // namespace foxtailturn
