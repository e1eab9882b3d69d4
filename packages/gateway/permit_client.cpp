#include "gateway/permit_client.h"

#include <algorithm>
#include <utility>

namespace foxtailturn::gateway {

namespace {

Counter &permitCounter(MetricRegistry &metrics, const char *outcome)
{
    return metrics.counter("foxtailturn_cold_permits_total",
                           "permits for cold targets that were requested, by outcome",
                           {{"outcome", outcome}});
}

} // namespace

PermitClient::PermitClient(asio::io_context &context, const Clock &clock, MetricRegistry &metrics)
    : clock_(clock)
    , desk_([this](const std::string &engine, const placement::PermitRequest &request) {
        if (send_)
            send_(engine, request);
    })
    , timer_(context)
    , granted_(permitCounter(metrics, "granted"))
    , refused_(permitCounter(metrics, "refused"))
    , expired_(permitCounter(metrics, "expired"))
{ }

void PermitClient::request(const Target &target, placement::PermitRequest request,
                           placement::PermitDesk::Handler handler)
{
    request.instance_ = target.record_.instance_;
    request.startTimeMs_ = target.record_.startTimeMs_;
    const auto counted = [this,
                          handler = std::move(handler)](const placement::PermitOutcome &outcome) {
        (outcome.validUntil_ ? granted_ : refused_).add();
        handler(outcome);
    };
    desk_.request(target.record_.address_, std::move(request), clock_.now(), counted);
    armTimer();
}

void PermitClient::onAnswer(const placement::PermitAnswer &answer)
{
    desk_.onAnswer(answer, clock_.now());
}

void PermitClient::onLinkLost(const std::string &engine)
{
    desk_.onLinkLost(engine, clock_.now());
}

void PermitClient::armTimer()
{
    const TimePoint expiry = desk_.nextExpiry();
    if (expiry == TimePoint::max())
        return;
    timer_.expires_after(std::max(expiry - clock_.now(), Duration::zero()));
    timer_.async_wait([this](const asio::error_code &error) {
        if (error)
            return;
        desk_.expire(clock_.now());
        armTimer();
    });
}

} // namespace foxtailturn::gateway
