#pragma once

// The interface through which requests reserve tokens under the fleet-wide rate limit.
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
    // Charges all reserved tokens unless settle() was called.
    virtual ~TokenReservation() = default;

    // Gives the unused tokens back to the workspace's share. Later calls have no effect.
    virtual void settle(std::uint64_t usedTokens) = 0;
};

class TokenLimiter
{
public:
    virtual ~TokenLimiter() = default;

    // Reserves tokens; requests some from peers before it refuses. Errors, all NotRun: RateLimited
    // with retryAt_, BurstExceeded if the request is larger than the workspace's burst,
    // LeaseExpired while this entry may not spend tokens. Thread-safe.
    [[nodiscard]] virtual Result<std::unique_ptr<TokenReservation>>
    reserve(const std::string &workspace, std::uint64_t tokens, TimePoint deadline) = 0;
};

} // namespace foxtailturn
