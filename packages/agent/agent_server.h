#pragma once

// The agent's gRPC service: executions and heartbeats.
//
//     AgentServer server(identity, clock, scheduler, executor, objects, limits, revision, isUp);
//     builder.RegisterService(server.service());
//     ...
//     server.drain();   // refuses new work; running executions finish

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "adapters/agent_scheduler.h"
#include "agent/adapter_object_names.h"
#include "agent/execution_table.h"
#include "agent/executor.h"
#include "base/clock.h"

namespace grpc {
class Service;
} // namespace grpc

namespace foxtailturn {

struct AgentIdentity
{
    std::string target_; // name of the target that this agent serves
    std::string group_; // target group, for example "engines"
    std::string incarnation_;

    bool operator==(const AgentIdentity &) const = default;
};

// What an agent accepts at most.
struct AgentLimits
{
    std::size_t maxExecutions_ = 0;
    std::size_t maxRequestBytes_ = 0; // held for requests in progress, all copies together
    std::size_t maxAnswerBytes_ = 0; // kept of answers, beyond the first block of each

    bool operator==(const AgentLimits &) const = default;
};

// Thread-safe.
class AgentServer
{
public:
    // All references must outlive the server. limits.maxExecutions_ is the size of the thread pool,
    // in which each execution holds one thread while it waits or runs. revision returns the
    // configuration revision in force, isTargetUp the result of the last health check.
    AgentServer(AgentIdentity identity, const Clock &clock, AgentScheduler &scheduler,
                Executor &executor, AdapterObjectNames &objects, const AgentLimits &limits,
                std::function<std::uint64_t()> revision, std::function<bool()> isTargetUp);
    ~AgentServer();

    // Returns the service for grpc::ServerBuilder.
    [[nodiscard]] grpc::Service *service();

    // Refuses new work; running executions finish. Thread-safe.
    void drain();

    // Return the number of executions that have not ended, and of streams that are sending an
    // answer to an entry. Thread-safe.
    [[nodiscard]] std::size_t runningCount() const;
    [[nodiscard]] std::size_t readerCount() const;

    // Removes ended executions after their retention time and cancels those that no stream reads.
    // Called periodically by a controller.
    void sweep();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace foxtailturn
