#pragma once

// The entry's metrics of requests, by what an operator asks: what was answered and why, how long it
// took, what quota, retries, placement and connections did.
//
//     ServingMetrics serving(metrics);
//     serving.placed(true);
//     serving.charged("w1", QuotaOutcome::Refused, 2'000);
//
// Labels are route kinds, statuses, reasons, services and workspaces, all of them few.

#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "base/metrics.h"
#include "gateway/serving_config.h"

namespace foxtailturn::gateway {

// Where the tokens of a request came from.
enum class QuotaOutcome {
    Share, // the entry's own units, or a pool that it keeps
    Pool, // granted by another entry
    Refused,
};

[[nodiscard]] std::string_view routeKindName(RouteKind kind);
[[nodiscard]] std::string_view quotaOutcomeName(QuotaOutcome outcome);

// Not thread-safe: looked-up metrics are kept without a lock.
class ServingMetrics
{
public:
    // The registry must outlive this object.
    explicit ServingMetrics(MetricRegistry &metrics);

    // status 0: the caller left. kind is "none" for a request that no route was found for.
    void answered(std::string_view kind, int status, std::string_view reason);

    // Time from a request's arrival to its first attempt, to its first event, and between events.
    void queued(Duration wait) { queue_.record(wait); }
    void firstEvent(Duration elapsed) { firstEvent_.record(elapsed); }
    void pause(Duration between) { pause_.record(between); }

    // A request for an adapter was sent; hadAdapter: without waiting for a load.
    void placed(bool hadAdapter);

    // Tokens of a prompt that the target is expected to keep already, and to read.
    void prompt(std::int64_t kept, std::int64_t read);

    void charged(const std::string &workspace, QuotaOutcome outcome, std::int64_t tokens);

    // An attempt beyond the first was allowed or denied by the budget; left: attempts that the
    // service's budget still allows now.
    void retry(const std::string &service, bool isAllowed, std::int64_t left);

    // Totals of the pool of connections to targets.
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
    std::map<std::pair<std::string, QuotaOutcome>, Counter *> quota_;
};

} // namespace foxtailturn::gateway
