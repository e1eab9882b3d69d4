#include "gateway/serving_metrics.h"

#include <algorithm>

namespace foxtailturn::gateway {

namespace {

constexpr const char *kAdapterName = "foxtailturn_adapter_requests_total";
constexpr const char *kAdapterHelp = "requests for an adapter that were sent to a target";
constexpr const char *kPromptName = "foxtailturn_prompt_tokens_total";
constexpr const char *kPromptHelp =
    "tokens of prompts, as the entry expects the target to treat them";
constexpr const char *kConnectionName = "foxtailturn_target_connections_total";
constexpr const char *kConnectionHelp = "connections to targets that requests used";

void raiseCounterTo(Counter &counter, std::uint64_t total)
{
    if (total > counter.value())
        counter.add(total - counter.value());
}

} // namespace

std::string_view routeKindName(RouteKind kind)
{
    switch (kind) {
    case RouteKind::Idempotent:
        return "idempotent";
    case RouteKind::NonIdempotent:
        return "non_idempotent";
    case RouteKind::Stream:
        return "stream";
    }
    return "unknown";
}

std::string_view quotaOutcomeName(QuotaOutcome outcome)
{
    switch (outcome) {
    case QuotaOutcome::Share:
        return "share";
    case QuotaOutcome::Pool:
        return "pool";
    case QuotaOutcome::Refused:
        return "refused";
    }
    return "unknown";
}

ServingMetrics::ServingMetrics(MetricRegistry &metrics)
    : metrics_(metrics)
    , queue_(metrics.latency("foxtailturn_queue_seconds",
                             "time from the request's arrival to its first attempt"))
    , firstEvent_(metrics.latency("foxtailturn_first_event_seconds",
                                  "time from the request's arrival to the first event"))
    , pause_(metrics.latency("foxtailturn_event_pause_seconds",
                             "longest pause between two events of a stream"))
    , adapterHits_(metrics.counter(kAdapterName, kAdapterHelp, {{"load", "none"}}))
    , adapterWaits_(metrics.counter(kAdapterName, kAdapterHelp, {{"load", "waited"}}))
    , promptKept_(metrics.counter(kPromptName, kPromptHelp, {{"part", "kept"}}))
    , promptRead_(metrics.counter(kPromptName, kPromptHelp, {{"part", "read"}}))
    , opened_(metrics.counter(kConnectionName, kConnectionHelp, {{"use", "opened"}}))
    , reused_(metrics.counter(kConnectionName, kConnectionHelp, {{"use", "reused"}}))
    , visits_(metrics.counter(
          "foxtailturn_target_visits_total",
          "targets and copies of adapters that were visited for messages and requests"))
{ }

void ServingMetrics::recordAnswer(std::string_view kind, int status, std::string_view reason)
{
    metrics_
        .counter("foxtailturn_requests_total", "answered requests",
                 {{"route_kind", std::string(kind)},
                  {"status", std::to_string(status)},
                  {"reason", std::string(reason)}})
        .add();
}

void ServingMetrics::recordPlacement(bool hadAdapter)
{
    (hadAdapter ? adapterHits_ : adapterWaits_).add();
}

void ServingMetrics::prompt(std::int64_t kept, std::int64_t read)
{
    promptKept_.add(static_cast<std::uint64_t>(std::max<std::int64_t>(kept, 0)));
    promptRead_.add(static_cast<std::uint64_t>(std::max<std::int64_t>(read, 0)));
}

void ServingMetrics::recordCharge(const std::string &workspace, QuotaOutcome outcome,
                                  std::int64_t tokens)
{
    Counter *&counter = quota_[{workspace, outcome}];
    if (counter == nullptr)
        counter = &metrics_.counter(
            "foxtailturn_quota_tokens_total", "tokens that requests of a workspace asked for",
            {{"workspace", workspace}, {"outcome", std::string(quotaOutcomeName(outcome))}});
    counter->add(static_cast<std::uint64_t>(std::max<std::int64_t>(tokens, 0)));
}

void ServingMetrics::retry(const std::string &service, bool isAllowed, std::int64_t left)
{
    metrics_
        .counter("foxtailturn_retries_total", "attempts beyond the first",
                 {{"service", service}, {"outcome", isAllowed ? "sent" : "denied"}})
        .add();
    metrics_
        .gauge("foxtailturn_retry_budget_left", "attempts beyond the first that are allowed now",
               {{"service", service}})
        .set(left);
}

void ServingMetrics::recordConnectionLoss(bool isCrash)
{
    metrics_
        .counter("foxtailturn_connections_lost_total",
                 "checks of targets that lost the connection of a request",
                 {{"cause", isCrash ? "crash" : "other"}})
        .add();
}

void ServingMetrics::recordLeaving(const std::string &service)
{
    metrics_
        .counter("foxtailturn_targets_leaving_total",
                 "targets that said that they are about to stop", {{"service", service}})
        .add();
}

void ServingMetrics::recordAnswerEnd(std::string_view end)
{
    metrics_
        .counter("foxtailturn_target_answer_ends_total", "answers of targets by how they ended",
                 {{"end", std::string(end)}})
        .add();
}

void ServingMetrics::recordNotResumed(std::string_view reason)
{
    metrics_
        .counter("foxtailturn_streams_not_resumed_total",
                 "streams broken off since no further run could be joined to them, by reason",
                 {{"reason", std::string(reason)}})
        .add();
}

void ServingMetrics::recordFailedAttempt(std::string_view reason)
{
    metrics_
        .counter("foxtailturn_failed_attempts_total", "attempts that failed at a target",
                 {{"reason", std::string(reason)}})
        .add();
}

void ServingMetrics::recordRejection(const std::string &service)
{
    metrics_
        .counter("foxtailturn_target_rejections_total", "requests that targets did not take",
                 {{"service", service}})
        .add();
}

void ServingMetrics::setVisits(std::uint64_t visits)
{
    raiseCounterTo(visits_, visits);
}

void ServingMetrics::connections(std::uint64_t opened, std::uint64_t reused)
{
    raiseCounterTo(opened_, opened);
    raiseCounterTo(reused_, reused);
}

} // namespace foxtailturn::gateway
