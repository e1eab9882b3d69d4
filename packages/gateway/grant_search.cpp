#include "gateway/grant_search.h"

#include <algorithm>

namespace foxtailturn::gateway {

namespace {

constexpr Duration kNoOwnerRetry = std::chrono::milliseconds(500);

} // namespace

GrantSearch::GrantSearch(std::vector<std::string> owners, std::size_t first)
    : owners_(std::move(owners))
    , first_(first)
{ }

std::optional<std::string> GrantSearch::next()
{
    if (asked_ == owners_.size())
        return std::nullopt;
    return owners_[(first_ + asked_++) % owners_.size()];
}

void GrantSearch::onRefused(const Error &error)
{
    if (error.code_ != ErrorCode::RateLimited)
        return;
    isOverRate_ = true;
    if (error.retryAt_)
        retryAt_ = std::min(retryAt_.value_or(TimePoint::max()), *error.retryAt_);
}

Result<void> GrantSearch::failure(TimePoint now) const
{
    if (isOverRate_)
        return notRun(ErrorCode::RateLimited, "the workspace is over its rate", retryAt_);
    return notRun(ErrorCode::LeaseExpired, "no owner of the workspace's quota answers",
                  now + kNoOwnerRetry);
}

} // namespace foxtailturn::gateway
