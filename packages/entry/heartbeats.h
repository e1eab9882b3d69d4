#pragma once

// Asks each agent for its target's state and keeps the target directory up to date.
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
    Heartbeats(std::string self, TargetDirectory &directory, AgentLinks &links);

    // Sends one heartbeat request to each agent and returns without waiting for the answers.
    void tick(const std::vector<Member> &agents, std::uint64_t revision);

    // Returns the incarnation of the agent that serves a target, as of its last heartbeat.
    [[nodiscard]] std::string incarnationOf(const std::string &target) const;

    // Waits until no answer is outstanding; call before destroying what the constructor took.
    void finish();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace foxtailturn
