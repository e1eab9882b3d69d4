#pragma once

// Runs one request on the target: waits until the scheduler admits it and its adapter is loaded,
// calls the target once and writes the answer to a buffer.
//
//     Executor executor(clock, client, scheduler, once);
//     executor.run(request, deadline, answer);   // blocks; the answer is ended afterwards

#include <cstdint>
#include <string>

#include "adapters/agent_scheduler.h"
#include "agent/answer_buffer.h"
#include "agent/target_client.h"
#include "claims/once_executor.h"
#include "foxtailturn.pb.h"

namespace foxtailturn {

// Thread-safe. Never calls the target twice for one execution.
class Executor
{
public:
    // All references must outlive the executor.
    Executor(const Clock &clock, TargetClient &client, AgentScheduler &scheduler,
             OnceExecutor &once);

    // Runs the request and ends the answer with finish() or fail(). Thread-safe.
    void run(const wire::ExecuteRequest &request, TimePoint deadline, AnswerBuffer &answer);

private:
    using RunFunction = Result<std::uint64_t> (Executor::*)(const wire::ExecuteRequest &, TimePoint,
                                                            AnswerBuffer &);

    // Selects the function for the kind of request: for a model, for a service whose calls may be
    // repeated, or for a service call that may run at most once.
    [[nodiscard]] static RunFunction runFunctionFor(const wire::ExecuteRequest &request);

    [[nodiscard]] Result<std::uint64_t> runModel(const wire::ExecuteRequest &request,
                                                 TimePoint deadline, AnswerBuffer &answer);
    [[nodiscard]] Result<std::uint64_t> runService(const wire::ExecuteRequest &request,
                                                   TimePoint deadline, AnswerBuffer &answer);
    [[nodiscard]] Result<std::uint64_t> runOnce(const wire::ExecuteRequest &request,
                                                TimePoint deadline, AnswerBuffer &answer);

    const Clock *clock_;
    TargetClient *client_;
    AgentScheduler *scheduler_;
    OnceExecutor *once_;
};

} // namespace foxtailturn
