#pragma once

// Polls each agent for the state of its target and updates the target directory.
//
//     Heartbeats heartbeats("entry-1#5f", directory, links);
//     loop.every(500 ms, [&] { heartbeats.tick(agents, revision); });

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "entry/agent_links.h"
#include "routing/target_directory.h"
#include "storage/platform.h"

namespace foxtailturn {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);

// Thread-safe.
class Heartbeats
{
public:
    // All references must outlive this object.
    Heartbeats(std::string senderId, TargetDirectory &directory, AgentLinks &links);

    // Sends a heartbeat request to each agent that has none outstanding; does not wait for replies.
    void tick(const std::vector<Member> &agents, std::uint64_t revision);

    // Returns the incarnation of the agent that serves a target, as of its last heartbeat.
    [[nodiscard]] std::string incarnationOf(const std::string &target) const;

    // Blocks until no request is outstanding. Call it before the objects that were passed to the
    // constructor are destroyed.
    void finish();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace foxtailturn
