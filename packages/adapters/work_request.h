#pragma once

// A request to run on the engine, with the properties that the agent's scheduler uses.

#include <cstdint>
#include <string>

#include "adapters/adapter_id.h"
#include "base/clock.h"

namespace foxtailturn {

// Chat is served before batch; FairQueue bounds how many chat requests may overtake batch.
enum class Priority { Chat, Batch };

struct WorkRequest
{
    std::string id_; // unique among the requests of one agent that wait or run
    std::string workspace_;
    AdapterId adapter_; // empty: needs no adapter
    Priority priority_ = Priority::Chat;
    double cost_ = 1; // expected work in tokens, at least 1; the unit of fair shares
    TimePoint deadline_; // latest start; refused as not_run if it has not started by then
    bool exclusive_ = false; // runs only while nothing else runs here (a suspect, design 5.7)

    bool operator==(const WorkRequest &) const = default;
};

} // namespace foxtailturn
