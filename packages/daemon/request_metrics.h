#pragma once

// Metrics of callers' requests, by workspace.
//
//     RequestMetrics metrics;
//     EntryServer server(..., metrics, ...);
//     answer(metrics.text());

#include <string>

#include "base/metrics.h"
#include "entry/entry_server.h"

namespace foxtailturn {

// Thread-safe.
class RequestMetrics final : public RequestObserver
{
public:
    void onFirstByte(const RequestContext &context, Duration sinceArrival) override;
    void onEnd(const RequestContext &context, const Error *error, Duration sinceArrival) override;

    // Returns all metrics in the Prometheus text format. Thread-safe.
    [[nodiscard]] std::string text() const { return registry_.text(); }

private:
    MetricRegistry registry_;
};

} // namespace foxtailturn
