#pragma once

// Rate and burst of a workspace.
//
//     TokenQuota quota{.rate_ = 100'000, .burst_ = 200'000, .countsTokens_ = true};

#include <cstdint>

namespace foxtailturn::quota {

// Rate and burst of a workspace over the whole fleet. A rate of 0 means no limit.
struct TokenQuota
{
    std::int64_t rate_ = 0; // tokens, or requests, per second
    std::int64_t burst_ = 0;
    bool countsTokens_ = false;
    std::int64_t defaultTokens_ = 1; // charge of a request that does not state its tokens

    bool operator==(const TokenQuota &) const = default;
};

} // namespace foxtailturn::quota
