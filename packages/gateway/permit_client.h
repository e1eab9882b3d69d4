#pragma once

// Requests permits to send requests to cold targets from the targets' sidecars (PermitDesk), within
// the event loop.
//
//     PermitClient permits(context, clock, metrics);
//     permits.setSender(send);                       // a placement::PermitDesk::Sender
//     permits.request(target, {.priority_ = 2, .rate_ = 6.5}, handler);
//     permits.onAnswer(answer);
//     permits.onLinkLost(engine);

#include <string>

#include <asio.hpp>

#include "base/metrics.h"
#include "gateway/target.h"
#include "placement/permit_desk.h"

namespace foxtailturn::gateway {

// Not thread-safe.
class PermitClient
{
public:
    // All must outlive this object.
    PermitClient(asio::io_context &context, const Clock &clock, MetricRegistry &metrics);

    // Requests are dropped before a sender is set.
    void setSender(placement::PermitDesk::Sender send) { send_ = std::move(send); }

    // Requests a permit for the target. The handler runs later, and not if it is destroyed before.
    void request(const Target &target, placement::PermitRequest request,
                 placement::PermitDesk::Handler handler);

    void onAnswer(const placement::PermitAnswer &answer);
    void onLinkLost(const std::string &engine);

    // Counts a permit whose request was not sent in time.
    void recordExpired() { expired_.add(); }

private:
    void armTimer();

    const Clock &clock_;
    placement::PermitDesk::Sender send_;
    placement::PermitDesk desk_;
    asio::steady_timer timer_;
    Counter &granted_;
    Counter &refused_;
    Counter &expired_;
};

} // namespace foxtailturn::gateway
