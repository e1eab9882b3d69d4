#pragma once

// The sidecar's decision about permits to send requests to its engine while that is cold.
//
//     ColdAllowance allowance(startedAt);
//     for (const PermitDecision &decision : allowance.decide(requests, engine, now))
//         send(decision.source_, encode(decision.answer_));
//
// Answers the load in which all entries see an engine return at once. Only the engine's sidecar
// grants, so no entry needs to know of the others. A permit is used up to kPermitLife after the
// grant, so the number of grants is bounded in each span of a second and that life; no second then
// has more requests. Of requests that are decided together, the more urgent ones go first.
//
// A sidecar that has just started doesn't know what an earlier process of it has granted, and
// grants nothing until those permits have ended.

#include <deque>
#include <vector>

#include "base/clock.h"
#include "placement/permit.h"

namespace foxtailturn::placement {

// A request with the connection that it came from.
struct PendingPermit
{
    int source_ = 0;
    PermitRequest request_;

    bool operator==(const PendingPermit &) const = default;
};

struct PermitDecision
{
    int source_ = 0;
    PermitAnswer answer_;

    bool operator==(const PermitDecision &) const = default;
};

// Not thread-safe.
class ColdAllowance
{
public:
    // Span in which grants are bounded by one second's rate.
    static constexpr Duration kWindow = std::chrono::seconds(1) + kPermitLife;
    // Retry-After of a request for an engine that is unreachable or another incarnation.
    static constexpr Duration kOtherRunRetry = std::chrono::milliseconds(100);

    explicit ColdAllowance(TimePoint startedAt)
        : grantsFrom_(startedAt + kWindow)
    { }

    // Decides about requests that came within a short time, the most urgent first.
    [[nodiscard]] std::vector<PermitDecision> decide(std::vector<PendingPermit> requests,
                                                     const EngineState &engine, TimePoint now);

    // Returns the number of grants within the last kWindow.
    [[nodiscard]] std::size_t recentGrants(TimePoint now);

private:
    [[nodiscard]] PermitAnswer answerTo(const PermitRequest &request, const EngineState &engine,
                                        TimePoint now);

    TimePoint grantsFrom_;
    std::deque<TimePoint> grants_; // within the last kWindow
};

// Returns how many permits may be granted in each ColdAllowance::kWindow for a rate per second.
// Thread-safe.
[[nodiscard]] std::size_t permitsPerWindow(double rate);

} // namespace foxtailturn::placement
