#include "entry/fleet_limiter.h"

#include <algorithm>
#include <utility>

namespace foxtailturn {

namespace {

constexpr auto kShareWaitInterval = std::chrono::milliseconds(5);

class ShareReservation final : public TokenReservation
{
public:
    ShareReservation(Limiter &limiter, Reservation reservation)
        : limiter_(&limiter)
        , reservation_(std::move(reservation))
    { }

    // The limiter counts open reservations, so one that was not settled is charged in full here.
    ~ShareReservation() override { settleOnce(reservation_.tokens_); }

    ShareReservation(const ShareReservation &) = delete;
    ShareReservation &operator=(const ShareReservation &) = delete;

    void settle(std::uint64_t usedTokens) override
    {
        settleOnce(static_cast<std::int64_t>(usedTokens));
    }

private:
    void settleOnce(std::int64_t usedTokens)
    {
        if (!std::exchange(settled_, true))
            limiter_->settle(reservation_, usedTokens);
    }

    Limiter *limiter_;
    Reservation reservation_;
    bool settled_ = false;
};

} // namespace

FleetLimiter::FleetLimiter(const Clock &clock, Limiter &limiter, ShareController &controller)
    : clock_(&clock)
    , limiter_(&limiter)
    , controller_(&controller)
{ }

Result<std::unique_ptr<TokenReservation>>
FleetLimiter::reserve(const std::string &workspace, std::uint64_t tokens, TimePoint deadline)
{
    const TimePoint waitUntil = std::min(clock_->now() + kPeerWait, deadline);
    const auto amount = static_cast<std::int64_t>(tokens);
    Result<Reservation> reserved = limiter_->reserve(workspace, amount, Attempt::First);
    while (!reserved && reserved.error().code_ == ErrorCode::RateLimited
           && clock_->now() < waitUntil) {
        controller_->send(limiter_->poll(workspace));
        controller_->waitForShare(
            std::min(clock_->now() + Duration(kShareWaitInterval), waitUntil));
        reserved = limiter_->reserve(workspace, amount, Attempt::Repeated);
    }
    if (!reserved)
        return tl::unexpected(reserved.error());
    return std::make_unique<ShareReservation>(*limiter_, *std::move(reserved));
}

} // namespace foxtailturn
