#include "gateway/serving_metrics.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

// Guards against renaming or losing a metric: dashboards and the operators' documentation use them.
TEST_CASE("each metric is exported under its name and labels")
{
    MetricRegistry registry;
    ServingMetrics serving(registry);
    serving.recordAnswer("stream", 200, "target");
    serving.recordQueueTime(std::chrono::milliseconds(3));
    serving.recordFirstEvent(std::chrono::milliseconds(30));
    serving.pause(std::chrono::milliseconds(7));
    serving.recordPlacement(true);
    serving.recordPlacement(false);
    serving.recordPlacement(false);
    serving.prompt(600, 290);
    serving.prompt(-1, 10);
    serving.recordCharge("w1", QuotaOutcome::Share, 900);
    serving.recordCharge("w1", QuotaOutcome::Pool, 50);
    serving.recordCharge("w1", QuotaOutcome::Refused, 70);
    serving.recordCharge("w1", QuotaOutcome::Refused, 5);
    serving.retry("models", true, 4);
    serving.retry("models", false, 0);
    serving.recordAnswerEnd("close");
    serving.recordNotResumed("event_without_id");
    serving.recordFailedAttempt("payload_too_large");
    serving.connections(3, 11);
    serving.connections(4, 11);
    const std::string text = registry.text();
    for (const std::string line : {
             R"(foxtailturn_requests_total{reason="target",route_kind="stream",status="200"} 1)",
             "foxtailturn_queue_seconds_count 1",
             "foxtailturn_first_event_seconds_count 1",
             "foxtailturn_event_pause_seconds_count 1",
             R"(foxtailturn_adapter_requests_total{load="none"} 1)",
             R"(foxtailturn_adapter_requests_total{load="waited"} 2)",
             R"(foxtailturn_prompt_tokens_total{part="kept"} 600)",
             R"(foxtailturn_prompt_tokens_total{part="read"} 300)",
             R"(foxtailturn_quota_tokens_total{outcome="share",workspace="w1"} 900)",
             R"(foxtailturn_quota_tokens_total{outcome="pool",workspace="w1"} 50)",
             R"(foxtailturn_quota_tokens_total{outcome="refused",workspace="w1"} 75)",
             R"(foxtailturn_retries_total{outcome="sent",service="models"} 1)",
             R"(foxtailturn_retries_total{outcome="denied",service="models"} 1)",
             R"(foxtailturn_retry_budget_left{service="models"} 0)",
             R"(foxtailturn_failed_attempts_total{reason="payload_too_large"} 1)",
             R"(foxtailturn_streams_not_resumed_total{reason="event_without_id"} 1)",
             R"(foxtailturn_target_answer_ends_total{end="close"} 1)",
             R"(foxtailturn_target_connections_total{use="opened"} 4)",
             R"(foxtailturn_target_connections_total{use="reused"} 11)",
         }) {
        CAPTURE(line);
        CAPTURE(text);
        CHECK(text.find(line + "\n") != std::string::npos);
    }
}

} // namespace foxtailturn::gateway
