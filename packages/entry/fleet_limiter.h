#pragma once

// The token limiter of the filter chain: reserves from this entry's share of the fleet-wide limit
// and requests tokens from peers before it refuses.
//
//     FleetLimiter limiter(clock, shares, controller);
//     auto reservation = limiter.reserve("acme", 4'000, deadline);

#include "entry/token_limiter.h"
#include "limiter/limiter.h"
#include "peer/share_controller.h"

namespace foxtailturn {

// Thread-safe.
class FleetLimiter final : public TokenLimiter
{
public:
    // All references must outlive the limiter.
    FleetLimiter(const Clock &clock, Limiter &limiter, ShareController &controller);

    Result<std::unique_ptr<TokenReservation>>
    reserve(const std::string &workspace, std::uint64_t tokens, TimePoint deadline) override;

private:
    const Clock *clock_;
    Limiter *limiter_;
    ShareController *controller_;
};

} // namespace foxtailturn
