#include "daemon/request_metrics.h"

namespace foxtailturn {

namespace {

Labels labelsOf(const RequestContext &context)
{
    return {{"workspace", context.workspace_ == nullptr ? "" : context.workspace_->id_},
            {"route", context.route_ == nullptr ? "" : context.route_->id_}};
}

} // namespace

void RequestMetrics::onFirstByte(const RequestContext &context, Duration sinceArrival)
{
    registry_
        .latency("foxtailturn_first_byte_seconds", "time from arrival to the answer's first byte",
                 labelsOf(context))
        .record(sinceArrival);
}

void RequestMetrics::onEnd(const RequestContext &context, const Error *error, Duration sinceArrival)
{
    Labels labels = labelsOf(context);
    registry_
        .latency("foxtailturn_request_seconds", "time from arrival to the end of the request",
                 labels)
        .record(sinceArrival);
    labels["code"] = error == nullptr ? "ok" : errorName(error->code_);
    labels["execution"] = error == nullptr ? "ran" : executionName(error->execution_);
    registry_.counter("foxtailturn_requests_total", "requests by result", labels).add();
}

} // namespace foxtailturn
