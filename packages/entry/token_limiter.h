#pragma once

// The entry's view of the fleet-wide rate limit.
//
//     auto reservation = limiter.reserve(workspace, 4'000, deadline);
//     if (!reservation) return tl::unexpected(reservation.error());   // RateLimited, NotRun
//     ...
//     (*reservation)->settle(usedTokens);

#include <cstdint>
#include <memory>
#include <string>

#include "base/error.h"

namespace foxtailturn {

// Tokens taken from a workspace's share for one request. Used by one thread.
class TokenReservation
{
public:
    // Without settle() all reserved tokens count as used.
    virtual ~TokenReservation() = default;

    // Returns what was reserved but not used. Later calls have no effect.
    virtual void settle(std::uint64_t usedTokens) = 0;
};

class TokenLimiter
{
public:
    virtual ~TokenLimiter() = default;

    // Reserves tokens, asking peers for some before it refuses. Errors, all NotRun: RateLimited
    // with retryAt_, BurstExceeded when the request is larger than the workspace's burst,
    // LeaseExpired while this entry may not spend. Thread-safe.
    [[nodiscard]] virtual Result<std::unique_ptr<TokenReservation>>
    reserve(const std::string &workspace, std::uint64_t tokens, TimePoint deadline) = 0;
};

} // namespace foxtailturn
