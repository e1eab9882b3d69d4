#include "daemon/agent_role.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "base/log.h"
#include "memory/memory_bounds.h"

namespace foxtailturn {

namespace {

const Logger kLog("agent");

constexpr auto kLeaseInterval = std::chrono::milliseconds(500);
constexpr auto kHealthInterval = std::chrono::milliseconds(250);
constexpr auto kSweepInterval = std::chrono::seconds(1);
constexpr auto kClaimRepairInterval = std::chrono::seconds(1);
constexpr auto kStopPollInterval = std::chrono::milliseconds(20);

// Orders for a plain service, which has no adapters.
class NoOrders final : public EngineOrders
{
public:
    Result<void> load(const AdapterId &, FencingNumber, TimePoint) override { return refuse(); }
    Result<void> unload(const AdapterId &, FencingNumber, TimePoint) override { return refuse(); }
    Result<std::vector<EngineAdapter>> list(TimePoint) override
    {
        return std::vector<EngineAdapter>{};
    }

private:
    static Result<void> refuse()
    {
        return notRun(ErrorCode::AdapterLoadFailed, "target has no adapters");
    }
};

AgentSettings schedulerSettings(const TargetSettings &target)
{
    AgentSettings settings;
    settings.slots_ = static_cast<std::size_t>(target.slots_);
    settings.maxRunning_ = static_cast<std::size_t>(target.maxRunning_);
    settings.maxBatchRunning_ = std::max<std::size_t>(1, settings.maxRunning_ * 3 / 4);
    settings.maxWaiting_ = static_cast<std::size_t>(target.maxWaiting_);
    settings.maxLoads_ = static_cast<std::size_t>(target.maxLoads_);
    return settings;
}

} // namespace

AgentRole::AgentRole(const Settings &settings)
    : settings_(settings)
    , node_(settings)
    , lease_(settings.target_.name_, node_.incarnation(), node_.clock(), node_.table(),
             node_.lease())
    , orders_(makeOrders())
    , waiter_(node_.clock())
    , claims_({node_.table(), node_.clock(), node_.wallClock(), waiter_}, ClaimLimits{})
    , once_(claims_, node_.clock(), ClaimLimits{})
    , client_(settings.target_.address_.host_, settings.target_.address_.port_, node_.clock())
    , scheduler_(std::make_unique<AgentScheduler>(schedulerSettings(settings.target_),
                                                  node_.clock(), *orders_, lease_))
    , executor_(std::make_unique<Executor>(node_.clock(), client_, *scheduler_, once_))
    , server_(std::make_unique<AgentServer>(
          AgentIdentity{settings.target_.name_, settings.target_.group_, node_.incarnation()},
          node_.clock(), *scheduler_, *executor_, objects_,
          AgentLimits{
              static_cast<std::size_t>(settings.target_.maxRunning_ + settings.target_.maxWaiting_),
              memory::MemoryBounds::forMachine(settings.memoryBytes()).max_,
              memory::MemoryBounds::forMachine(settings.memoryBytes()).max_},
          [this] { return node_.revision(); }, [this] { return targetUp_.load(); }))
{
    node_.setHooks(nodeHooks());
    node_.addService(server_->service());
}

AgentRole::~AgentRole() = default;

std::unique_ptr<EngineOrders> AgentRole::makeOrders()
{
    if (settings_.target_.kind_ == TargetKind::Service)
        return std::make_unique<NoOrders>();
    const Endpoint &address = settings_.target_.address_;
    return std::make_unique<HttpEngineOrders>(
        address.host_, address.port_, node_.clock(),
        [this](const AdapterId &adapter) { return objects_.objectNameOf(adapter); });
}

Result<void> AgentRole::start()
{
    Result<void> started = node_.start();
    if (!started)
        return started;
    node_.loop().every(kLeaseInterval, [this] { lease_.tick(); });
    node_.loop().every(kHealthInterval, [this] { checkTarget(); });
    node_.loop().every(kSweepInterval, [this] { server_->sweep(); });
    node_.loop().every(kClaimRepairInterval, [this] { claims_.repairPending(); });
    return {};
}

void AgentRole::checkTarget()
{
    const bool isUp = client_.isReachable();
    if (targetUp_.exchange(isUp) == isUp)
        return;
    kLog.warn(concat(isUp ? "target is up again" : "target is down",
                     ", target=", settings_.target_.name_));
    // A target that was down has started anew, with empty slots.
    if (isUp)
        scheduler_->engineChanged();
}

NodeHooks AgentRole::nodeHooks()
{
    NodeHooks hooks;
    hooks.isReady_ = [this] { return !scheduler_->snapshot().draining_; };
    hooks.addState_ = [this](Json &state) { addState(state); };
    hooks.metrics_ = [] { return std::string(); };
    hooks.drain_ = [this] { server_->drain(); };
    return hooks;
}

void AgentRole::addState(Json &state)
{
    const AgentSnapshot snapshot = scheduler_->snapshot();
    Json resident = Json::array();
    for (const AdapterId &adapter : snapshot.resident_)
        resident.push_back(engineModelName(adapter));
    state["target"] = {{"name", settings_.target_.name_},
                       {"group", settings_.target_.group_},
                       {"fencing_number", lease_.fencingNumber()},
                       {"draining", snapshot.draining_},
                       {"recovered", snapshot.recovered_},
                       {"running", snapshot.running_},
                       {"waiting", snapshot.waiting_},
                       {"waiting_by_workspace", snapshot.waitingByWorkspace_},
                       {"loads_in_flight", snapshot.loadsInFlight_},
                       {"resident", resident}};
    state["executions"] = server_->runningCount();
}

void AgentRole::stop()
{
    server_->drain();
    const TimePoint deadline =
        node_.clock().now() + std::chrono::milliseconds(settings_.stopTimeoutMs_);
    const auto isBusy = [this] {
        return !scheduler_->isIdle() || server_->runningCount() > 0 || server_->readerCount() > 0
            || claims_.repairPending() > 0;
    };
    while (isBusy() && node_.clock().now() < deadline)
        std::this_thread::sleep_for(kStopPollInterval);
    node_.stop();
}

} // namespace foxtailturn
