#pragma once

// The agent: runs requests on the target beside it and gives it orders.

#include <atomic>
#include <memory>

#include "adapters/agent_scheduler.h"
#include "agent/adapter_object_names.h"
#include "agent/agent_server.h"
#include "agent/executor.h"
#include "agent/http_engine_orders.h"
#include "agent/target_lease.h"
#include "claims/once_executor.h"
#include "daemon/node.h"
#include "daemon/role.h"

namespace foxtailturn {

// Thread-safe unless said otherwise.
class AgentRole final : public DaemonRole
{
public:
    explicit AgentRole(const Settings &settings);
    ~AgentRole() override;

    Result<void> start() override;
    void stop() override;
    [[nodiscard]] bool isFenced() const override { return node_.isFenced(); }

private:
    [[nodiscard]] NodeHooks nodeHooks();
    [[nodiscard]] std::unique_ptr<EngineOrders> makeOrders();
    void addState(Json &state);
    void checkTarget();

    Settings settings_;
    Node node_;
    AdapterObjectNames objects_;
    TargetLease lease_;
    std::unique_ptr<EngineOrders> orders_;
    BlockingWaiter waiter_;
    ClaimStore claims_;
    OnceExecutor once_;
    HttpTargetClient client_;
    std::atomic<bool> targetUp_ = true;
    std::unique_ptr<AgentScheduler> scheduler_;
    std::unique_ptr<Executor> executor_;
    std::unique_ptr<AgentServer> server_;
};

} // namespace foxtailturn
