#include "adapters/agent_scheduler.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>

#include "base/log.h"

namespace foxtailturn {

namespace {

const Logger kLog("adapters");

// Upper bound of the control thread's sleep. Condition variables do not use CLOCK_BOOTTIME, which
// also counts the time while the VM is suspended, so the clock is polled.
constexpr Duration kMaxSleep = std::chrono::milliseconds(20);
constexpr Duration kMinSleep = std::chrono::milliseconds(1);

} // namespace

// Shared by the scheduler, its threads and the permits. mutex_ guards all mutable members.
class AgentSchedulerState
{
public:
    AgentSchedulerState(const AgentSettings &settings, const Clock &clock, EngineOrders &orders,
                        const LeaseView &lease)
        : settings_(settings)
        , clock_(clock)
        , engine_(orders)
        , lease_(lease)
        , core_(settings)
    { }

    void startThreads();
    void stop();
    Result<bool> acquire(const WorkRequest &request);
    void finish(const std::string &requestId);

    // Applies change to the core under the lock and executes the resulting decisions.
    template <typename Change>
    auto apply(const Change &change)
    {
        const std::lock_guard lock(mutex_);
        const auto result = change(core_);
        executeDecisions();
        return result;
    }

    template <typename Read>
    auto read(const Read &read) const
    {
        const std::lock_guard lock(mutex_);
        return read(core_);
    }

private:
    // A blocked call of acquire().
    struct Waiter
    {
        std::condition_variable completed_;
        std::optional<Result<bool>> outcome_; // value: whether it waited for a load
    };

    [[nodiscard]] std::optional<FencingNumber> heldFencingNumber() const;
    void executeDecisions();
    void completeWaiter(const std::string &requestId, Result<bool> outcome);
    void runControlLoop();
    void runOrderLoop();
    void execute(const EngineOrder &order);
    [[nodiscard]] Result<void> sendLoadOrUnload(const EngineOrder &order);
    [[nodiscard]] Result<std::vector<EngineAdapter>> list(const EngineOrder &order);
    [[nodiscard]] Result<void> checkLease(const EngineOrder &order) const;

    const AgentSettings settings_;
    const Clock &clock_;
    EngineOrders &engine_;
    const LeaseView &lease_;
    mutable std::mutex mutex_;
    std::condition_variable controlWake_;
    std::condition_variable orderReady_;
    AgentCore core_;
    std::unordered_map<std::string, Waiter *> waiters_; // by request id
    std::deque<EngineOrder> orders_;
    bool stopped_ = false;
    std::vector<std::thread> threads_;
};

void AgentSchedulerState::startThreads()
{
    threads_.emplace_back([this] { runControlLoop(); });
    // One thread more than the limit of loads and unloads in flight, so that List is not delayed.
    for (std::size_t i = 0; i <= settings_.maxLoads_; ++i)
        threads_.emplace_back([this] { runOrderLoop(); });
}

void AgentSchedulerState::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        std::vector<std::string> ids;
        for (const auto &[id, waiter] : waiters_)
            ids.push_back(id);
        for (const std::string &id : ids)
            completeWaiter(id, notRun(ErrorCode::ShuttingDown, "agent is shutting down"));
    }
    controlWake_.notify_all();
    orderReady_.notify_all();
    for (std::thread &thread : threads_)
        thread.join();
}

std::optional<FencingNumber> AgentSchedulerState::heldFencingNumber() const
{
    const FencingNumber number = lease_.fencingNumber();
    return lease_.isHeld() ? std::optional(number) : std::nullopt;
}

void AgentSchedulerState::executeDecisions()
{
    if (stopped_)
        return;
    AgentDecisions decisions = core_.decide(clock_.now(), heldFencingNumber());
    for (const AdmittedRequest &admitted : decisions.admitted_)
        completeWaiter(admitted.id_, admitted.stalled_);
    for (RefusedRequest &refused : decisions.refused_)
        completeWaiter(refused.id_, tl::unexpected(std::move(refused.error_)));
    for (EngineOrder &order : decisions.orders_) {
        orders_.push_back(std::move(order));
        orderReady_.notify_one();
    }
}

void AgentSchedulerState::completeWaiter(const std::string &requestId, Result<bool> outcome)
{
    const auto it = waiters_.find(requestId);
    if (it == waiters_.end())
        return;
    it->second->outcome_ = std::move(outcome);
    it->second->completed_.notify_one();
    waiters_.erase(it);
}

Result<bool> AgentSchedulerState::acquire(const WorkRequest &request)
{
    std::unique_lock lock(mutex_);
    if (stopped_)
        return notRun(ErrorCode::ShuttingDown, "agent is shutting down");
    if (core_.contains(request.id_))
        return notRun(ErrorCode::BadRequest, "request id is in use");
    Waiter waiter;
    waiters_.emplace(request.id_, &waiter);
    core_.submit(request, clock_.now());
    executeDecisions();
    controlWake_.notify_one();
    waiter.completed_.wait(lock, [&] { return waiter.outcome_.has_value(); });
    return *waiter.outcome_;
}

void AgentSchedulerState::finish(const std::string &requestId)
{
    const std::lock_guard lock(mutex_);
    core_.finish(requestId);
    executeDecisions();
}

void AgentSchedulerState::runControlLoop()
{
    std::unique_lock lock(mutex_);
    while (!stopped_) {
        executeDecisions();
        const TimePoint now = clock_.now();
        // Bounded before the subtraction: work that is due at once has the smallest time point, and
        // its distance to now would overflow.
        const TimePoint wake =
            std::clamp(core_.nextDecisionTime(), now + kMinSleep, now + kMaxSleep);
        controlWake_.wait_for(lock, wake - now);
    }
}

void AgentSchedulerState::runOrderLoop()
{
    std::unique_lock lock(mutex_);
    while (true) {
        orderReady_.wait(lock, [this] { return stopped_ || !orders_.empty(); });
        if (stopped_)
            return;
        const EngineOrder order = std::move(orders_.front());
        orders_.pop_front();
        lock.unlock();
        execute(order);
        lock.lock();
    }
}

void AgentSchedulerState::execute(const EngineOrder &order)
{
    if (order.kind_ == EngineOrder::Kind::List) {
        const Result<std::vector<EngineAdapter>> listed = list(order);
        const std::lock_guard lock(mutex_);
        core_.listDone(order, listed, clock_.now());
        executeDecisions();
        return;
    }
    const Result<void> result = sendLoadOrUnload(order);
    if (!result)
        kLog.warn(concat("order failed, adapter=", order.adapter_.adapter_, " version=",
                         order.adapter_.version_, " error=", errorName(result.error().code_)));
    const std::lock_guard lock(mutex_);
    core_.orderDone(order, result, clock_.now());
    executeDecisions();
}

Result<void> AgentSchedulerState::checkLease(const EngineOrder &order) const
{
    if (heldFencingNumber() != order.fencing_)
        return notRun(ErrorCode::LeaseExpired, "agent's lease is not held");
    return {};
}

Result<void> AgentSchedulerState::sendLoadOrUnload(const EngineOrder &order)
{
    // Checked immediately before the order: the agent may have been paused since the decision.
    if (const Result<void> held = checkLease(order); !held)
        return held;
    const TimePoint deadline = clock_.now() + settings_.orderTimeout_;
    if (order.kind_ == EngineOrder::Kind::Load)
        return engine_.load(order.adapter_, order.fencing_, deadline);
    return engine_.unload(order.adapter_, order.fencing_, deadline);
}

Result<std::vector<EngineAdapter>> AgentSchedulerState::list(const EngineOrder &order)
{
    if (const Result<void> held = checkLease(order); !held)
        return tl::unexpected(held.error());
    return engine_.list(clock_.now() + settings_.orderTimeout_);
}

RunPermit::RunPermit(std::shared_ptr<AgentSchedulerState> state, std::string requestId,
                     bool stalled)
    : state_(std::move(state))
    , requestId_(std::move(requestId))
    , stalled_(stalled)
{ }

RunPermit::RunPermit(RunPermit &&other) noexcept = default;

RunPermit &RunPermit::operator=(RunPermit &&other) noexcept
{
    if (this != &other) {
        release();
        state_ = std::exchange(other.state_, nullptr);
        requestId_ = std::move(other.requestId_);
        stalled_ = other.stalled_;
    }
    return *this;
}

RunPermit::~RunPermit()
{
    release();
}

void RunPermit::release()
{
    if (state_)
        state_->finish(requestId_);
    state_.reset();
}

AgentScheduler::AgentScheduler(const AgentSettings &settings, const Clock &clock,
                               EngineOrders &orders, const LeaseView &lease)
    : state_(std::make_shared<AgentSchedulerState>(settings, clock, orders, lease))
{
    state_->startThreads();
}

AgentScheduler::~AgentScheduler()
{
    state_->stop();
}

Result<RunPermit> AgentScheduler::acquire(const WorkRequest &request)
{
    const Result<bool> stalled = state_->acquire(request);
    if (!stalled)
        return tl::unexpected(stalled.error());
    return RunPermit(state_, request.id_, *stalled);
}

bool AgentScheduler::cancel(const std::string &requestId)
{
    return state_->apply([&](AgentCore &core) { return core.cancel(requestId); });
}

void AgentScheduler::setWeight(const std::string &workspace, double weight)
{
    state_->apply([&](AgentCore &core) {
        core.setWeight(workspace, weight);
        return true;
    });
}

void AgentScheduler::drain()
{
    state_->apply([](AgentCore &core) {
        core.drain();
        return true;
    });
}

bool AgentScheduler::isIdle() const
{
    return state_->read([](const AgentCore &core) { return core.isIdle(); });
}

void AgentScheduler::engineChanged()
{
    state_->apply([](AgentCore &core) {
        core.requestList();
        return true;
    });
}

AgentSnapshot AgentScheduler::snapshot() const
{
    return state_->read([](const AgentCore &core) { return core.snapshot(); });
}

} // namespace foxtailturn
