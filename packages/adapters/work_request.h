#pragma once

// A request as the agent's scheduling sees it.

#include <cstdint>
#include <string>

#include "adapters/adapter_id.h"
#include "base/clock.h"

namespace foxtailturn {

// Chat is served before batch; see FairQueue for the bound on what batch waits.
enum class Priority { Chat, Batch };

struct WorkRequest
{
    std::string id_; // unique among the requests of one agent that wait or run
    std::string workspace_;
    AdapterId adapter_; // empty: needs no adapter
    Priority priority_ = Priority::Chat;
    double cost_ = 1; // expected work in tokens, at least 1; fair shares are counted in it
    TimePoint deadline_; // latest start; later it is shed as not_run
    bool exclusive_ = false; // runs only while nothing else runs here (a suspect, design 5.7)

    bool operator==(const WorkRequest &) const = default;
};

} // namespace foxtailturn
