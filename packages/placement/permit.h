#pragma once

// Permits to send a request to a cold target, and what a sidecar tells of its engine's run.

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace foxtailturn::placement {

// How long a permit may be used, from the moment at which it was requested.
constexpr Duration kPermitLife = std::chrono::milliseconds(300);

// An entry requests to send one request to an engine that it takes for cold.
struct PermitRequest
{
    std::int64_t number_ = 0; // chosen by the requesting entry
    std::string instance_;
    std::int64_t startTimeMs_ = 0; // of the incarnation that the entry knows
    int priority_ = 0; // of the caller's request; 0 is the most urgent
    double rate_ = 0; // requests per second that a cold engine of this service bears

    bool operator==(const PermitRequest &) const = default;
};

// The sidecar's answer. It counts a granted permit, whether it is used or not.
struct PermitAnswer
{
    std::int64_t number_ = 0;
    bool isGranted_ = false;
    Duration retryAfter_ = Duration::zero(); // of a refused request

    bool operator==(const PermitAnswer &) const = default;
};

// The state of an engine's run as its sidecar sees it.
struct EngineState
{
    bool isReachable_ = false;
    std::int64_t startTimeMs_ = 0; // of its incarnation
    Duration upFor_ = Duration::zero(); // since its start or its return

    bool operator==(const EngineState &) const = default;
};

} // namespace foxtailturn::placement
