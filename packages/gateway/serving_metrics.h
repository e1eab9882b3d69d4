#pragma once

// Request metrics of an entry: answers by status and reason, latencies, quota charges, retries,
// placement and target connections.
//
//     ServingMetrics serving(metrics);
//     serving.recordPlacement(true);
//     serving.recordCharge("w1", QuotaOutcome::Refused, 2'000);
//
// All labels have few values: route kinds, statuses, reasons, services and workspaces.

#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "base/metrics.h"
#include "gateway/serving_config.h"

namespace foxtailturn::gateway {

// How a request's quota charge was met.
enum class QuotaOutcome {
    Share, // from the entry's own share, or from a pool that it owns
    Pool, // granted by another entry
    Refused,
};

[[nodiscard]] std::string_view routeKindName(RouteKind kind);
[[nodiscard]] std::string_view quotaOutcomeName(QuotaOutcome outcome);

// Not thread-safe: metrics are cached without a lock.
class ServingMetrics
{
public:
    // The registry must outlive this object.
    explicit ServingMetrics(MetricRegistry &metrics);

    // Counts an answer. status is 0 if the caller left; kind is "none" if no route was found.
    void recordAnswer(std::string_view kind, int status, std::string_view reason);

    // Record the time from a request's arrival to its first attempt and to its first event, and the
    // longest pause between its events.
    void recordQueueTime(Duration wait) { queue_.record(wait); }
    void recordFirstEvent(Duration elapsed) { firstEvent_.record(elapsed); }
    void pause(Duration between) { pause_.record(between); }

    // Counts a request for an adapter that was sent to a target. hadAdapter: without waiting for a
    // load.
    void recordPlacement(bool hadAdapter);

    // Counts the prompt tokens that are probably in the target's KV cache, and those to prefill.
    void prompt(std::int64_t kept, std::int64_t read);

    void recordCharge(const std::string &workspace, QuotaOutcome outcome, std::int64_t tokens);

    // Counts a retry that the budget allowed or denied. left: retries that the service's budget
    // still allows now.
    void retry(const std::string &service, bool isAllowed, std::int64_t left);

    // Counts a check of a target that has lost the connection of a request. isCrash: the target
    // accepted no other one.
    void recordConnectionLoss(bool isCrash);

    // Counts a target that has said that it is about to stop.
    void recordLeaving(const std::string &service);

    // Counts how an answer of a target ended: a framingName(), or "broken" if it ended earlier. One
    // whose close may be a crash counts as "unknown", too.
    void recordAnswerEnd(std::string_view end);

    // Counts a stream that was broken off since no further run could be joined to it, by the name
    // of a PositionGap.
    void recordNotResumed(std::string_view reason);

    // Counts an attempt that failed at a target: the name of an ErrorCode, or "answer_given_up" for
    // a rejection or failure whose body did not end.
    void recordFailedAttempt(std::string_view reason);

    // Counts a rejection by a target.
    void recordRejection(const std::string &service);

    // Sets the number of targets and copies of adapters that were visited for messages,
    // requests and timers. A lower value than before is ignored.
    void setVisits(std::uint64_t visits);

    // Sets the totals of the target connection pool. Lower values than before are ignored.
    void connections(std::uint64_t opened, std::uint64_t reused);

private:
    MetricRegistry &metrics_;
    LatencyMetric &queue_;
    LatencyMetric &firstEvent_;
    LatencyMetric &pause_;
    Counter &adapterHits_;
    Counter &adapterWaits_;
    Counter &promptKept_;
    Counter &promptRead_;
    Counter &opened_;
    Counter &reused_;
    Counter &visits_;
    std::map<std::pair<std::string, QuotaOutcome>, Counter *> quota_;
};

} // namespace foxtailturn::gateway
