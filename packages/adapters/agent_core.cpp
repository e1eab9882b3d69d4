#include "adapters/agent_core.h"

#include <algorithm>
#include <utility>

namespace foxtailturn {

namespace {

// Time after which a request refused as Overloaded may be sent here again.
constexpr Duration kOverloadRetry = std::chrono::seconds(1);

Error notRunError(ErrorCode code, std::string message,
                  std::optional<TimePoint> retryAt = std::nullopt)
{
    return Error{code, Execution::NotRun, std::move(message), retryAt};
}

} // namespace

AgentCore::AgentCore(const AgentSettings &settings, KeepValue keepValue)
    : settings_(settings)
    , cache_(settings.slots_, std::move(keepValue), settings.popularityHalfLife_)
    , queue_(settings.groupingSlack_)
{ }

void AgentCore::setWeight(const std::string &workspace, double weight)
{
    queue_.setWeight(workspace, weight);
}

bool AgentCore::contains(const std::string &requestId) const
{
    return queue_.contains(requestId) || running_.contains(requestId);
}

void AgentCore::submit(const WorkRequest &request, TimePoint now)
{
    const AdapterId &adapter = request.adapter_;
    if (!adapter.empty()) {
        cache_.recordUse(adapter, now);
        if (const std::optional<TimePoint> until = cache_.backOffUntil(adapter, now)) {
            refuse(request,
                   notRunError(ErrorCode::AdapterLoadFailed, "adapter is in back-off", until));
            return;
        }
        if (cache_.state(adapter) != SlotState::Resident)
            stalled_.insert(request.id_);
    }
    if (request.exclusive_)
        exclusiveWaiting_.emplace(request.id_, adapter);
    queue_.push(request);
    if (queue_.size() > settings_.maxWaiting_)
        refuseOverflow(now);
}

void AgentCore::refuse(const WorkRequest &request, Error error)
{
    stalled_.erase(request.id_);
    exclusiveWaiting_.erase(request.id_);
    decisions_.refused_.push_back(RefusedRequest{request.id_, std::move(error)});
}

void AgentCore::refuseOverflow(TimePoint now)
{
    const std::optional<std::string> id = queue_.overflowVictim();
    refuse(*queue_.remove(*id),
           notRunError(ErrorCode::Overloaded, "too many requests wait", now + kOverloadRetry));
}

void AgentCore::refuseAllWaiting(const Error &error)
{
    std::vector<std::string> ids;
    queue_.forEach([&](const WorkRequest &request) { ids.push_back(request.id_); });
    for (const std::string &id : ids)
        refuse(*queue_.remove(id), error);
}

void AgentCore::refuseWaitingFor(const AdapterId &adapter, TimePoint now)
{
    std::vector<std::string> ids;
    queue_.forEach([&](const WorkRequest &request) {
        if (request.adapter_ == adapter)
            ids.push_back(request.id_);
    });
    const Error error = notRunError(ErrorCode::AdapterLoadFailed, "adapter load failed",
                                    cache_.backOffUntil(adapter, now));
    for (const std::string &id : ids)
        refuse(*queue_.remove(id), error);
}

void AgentCore::refuseExpired(TimePoint now)
{
    for (const WorkRequest &request : queue_.takeExpired(now))
        refuse(request,
               notRunError(ErrorCode::DeadlineExceeded, "deadline passed before the start"));
}

bool AgentCore::cancel(const std::string &requestId)
{
    const std::optional<WorkRequest> request = queue_.remove(requestId);
    if (!request)
        return false;
    refuse(*request, notRunError(ErrorCode::Cancelled, "request was cancelled"));
    return true;
}

std::optional<Error> AgentCore::stopReason(std::optional<FencingNumber> fencing) const
{
    if (draining_)
        return notRunError(ErrorCode::TargetDraining, "target is draining");
    if (!fencing)
        return notRunError(ErrorCode::LeaseExpired, "agent's lease is not held");
    if (refusedFencing_ != 0 && *fencing <= refusedFencing_)
        return notRunError(ErrorCode::StaleFencingNumber, "engine follows a newer agent");
    return std::nullopt;
}

AgentDecisions AgentCore::decide(TimePoint now, std::optional<FencingNumber> fencing)
{
    refuseExpired(now);
    if (const std::optional<Error> closed = stopReason(fencing)) {
        refuseAllWaiting(*closed);
        return std::exchange(decisions_, {});
    }
    adoptFencingNumber(*fencing);
    admit(now);
    orderRetries();
    if (engineListRead_)
        orderLoads(now);
    orderList(now);
    return std::exchange(decisions_, {});
}

void AgentCore::adoptFencingNumber(FencingNumber fencing)
{
    if (fencing == fencing_)
        return;
    // Another agent may have given orders since the last number, so the engine's list is read
    // first.
    fencing_ = fencing;
    engineListRead_ = false;
    requestList();
}

bool AgentCore::isRunnable(const AdapterId &adapter) const
{
    return adapter.empty() || (engineListRead_ && cache_.state(adapter) == SlotState::Resident);
}

bool AgentCore::exclusiveIsNext() const
{
    for (const auto &[id, adapter] : exclusiveWaiting_) {
        if (isRunnable(adapter))
            return true;
    }
    return false;
}

RunRank AgentCore::runRank(const WorkRequest &request, bool exclusiveNext) const
{
    if (!isRunnable(request.adapter_))
        return RunRank::NotRunnable;
    if (exclusiveNext)
        return request.exclusive_ && running_.empty() ? RunRank::Runnable : RunRank::NotRunnable;
    if (request.priority_ == Priority::Batch && batchRunning_ >= settings_.maxBatchRunning_)
        return RunRank::NotRunnable;
    if (!vacating_.empty() && request.adapter_ == vacating_)
        return RunRank::NotRunnable;
    return runningByAdapter_.contains(request.adapter_) ? RunRank::InBatch : RunRank::Runnable;
}

void AgentCore::admit(TimePoint now)
{
    while (running_.size() < settings_.maxRunning_ && !exclusiveRunning_) {
        const bool exclusiveNext = exclusiveIsNext();
        const std::optional<WorkRequest> request =
            queue_.pop([&](const WorkRequest &waiting) { return runRank(waiting, exclusiveNext); });
        if (!request)
            return;
        start(*request, now);
    }
}

void AgentCore::start(const WorkRequest &request, TimePoint now)
{
    std::optional<Pin> pin;
    if (!request.adapter_.empty())
        pin = cache_.pin(request.adapter_, now);
    ++runningByAdapter_[request.adapter_];
    batchRunning_ += request.priority_ == Priority::Batch ? 1 : 0;
    exclusiveRunning_ |= request.exclusive_;
    exclusiveWaiting_.erase(request.id_);
    const bool stalled = stalled_.erase(request.id_) > 0;
    decisions_.admitted_.push_back(AdmittedRequest{request.id_, stalled});
    running_.emplace(request.id_, Running{request, std::move(pin)});
}

void AgentCore::finish(const std::string &requestId)
{
    const auto it = running_.find(requestId);
    if (it == running_.end())
        return;
    const WorkRequest &request = it->second.request_;
    const auto count = runningByAdapter_.find(request.adapter_);
    if (--count->second == 0)
        runningByAdapter_.erase(count);
    batchRunning_ -= request.priority_ == Priority::Batch ? 1 : 0;
    if (request.exclusive_)
        exclusiveRunning_ = false;
    running_.erase(it);
}

void AgentCore::addOrder(EngineOrder::Kind kind, const AdapterId &adapter)
{
    decisions_.orders_.push_back(EngineOrder{kind, adapter, fencing_, cache_.changeMark()});
}

void AgentCore::orderLoads(TimePoint now)
{
    if (loadsInFlight_ + unloadsInFlight_ >= settings_.maxLoads_)
        return;
    vacatingNeeded_ = false;
    planLoads(now);
    if (!vacatingNeeded_)
        vacating_ = AdapterId{};
}

std::optional<AdapterId> AgentCore::nextLoad(const PlannedLoads &planned, TimePoint now) const
{
    const auto mayLoad = [&](const AdapterId &adapter) {
        return cache_.state(adapter) == SlotState::Absent && !planned.contains(adapter)
            && !cache_.backOffUntil(adapter, now);
    };
    if (!reservedNext_.empty() && queue_.waitingFor(reservedNext_) > 0 && mayLoad(reservedNext_))
        return reservedNext_;
    return loads_.choose(queue_, mayLoad);
}

void AgentCore::planLoads(TimePoint now)
{
    PlannedLoads planned;
    std::size_t slotsComing = unloadsInFlight_;
    while (loadsInFlight_ + unloadsInFlight_ < settings_.maxLoads_) {
        const std::optional<AdapterId> next = nextLoad(planned, now);
        if (!next)
            return;
        planned.insert(*next);
        if (cache_.beginLoad(*next, now))
            orderLoad(*next);
        else if (slotsComing > 0)
            --slotsComing; // an unload in flight will free a slot for it
        else if (!orderEviction(*next, now))
            vacateFor(*next, now);
    }
}

void AgentCore::orderLoad(const AdapterId &adapter)
{
    if (adapter == reservedNext_)
        reservedNext_ = AdapterId{};
    ++loadsInFlight_;
    loads_.loadStarted(adapter, queue_);
    addOrder(EngineOrder::Kind::Load, adapter);
}

bool AgentCore::orderEviction(const AdapterId &forAdapter, TimePoint now)
{
    std::optional<AdapterId> victim = cache_.chooseVictim(
        now, [&](const AdapterId &adapter) { return queue_.waitingFor(adapter) > 0; });
    // A request at the head of its class may evict an adapter that later requests wait for;
    // otherwise a few busy adapters could keep all slots indefinitely. Adapters of the head
    // requests are not evicted, so that two of them cannot evict each other without either
    // starting.
    if (!victim && queue_.isAtHead(forAdapter)) {
        victim = cache_.chooseVictim(
            now, [&](const AdapterId &adapter) { return queue_.isAtHead(adapter); });
        reservedNext_ = forAdapter;
    }
    if (!victim || !cache_.beginEviction(*victim))
        return false;
    ++unloadsInFlight_;
    addOrder(EngineOrder::Kind::Unload, *victim);
    return true;
}

void AgentCore::vacateFor(const AdapterId &forAdapter, TimePoint now)
{
    if (!queue_.isAtHead(forAdapter))
        return;
    vacatingNeeded_ = true;
    // The choice is kept until the slot is free. Changing it could let every busy adapter get new
    // requests before it is idle.
    if (!vacating_.empty() && cache_.state(vacating_) == SlotState::Resident)
        return;
    const std::optional<AdapterId> least = cache_.leastValuable(
        now, [&](const AdapterId &adapter) { return queue_.isAtHead(adapter); });
    vacating_ = least.value_or(AdapterId{});
}

void AgentCore::orderRetries()
{
    for (const AdapterId &adapter : cache_.takeEvictionRetries()) {
        ++unloadsInFlight_;
        addOrder(EngineOrder::Kind::Unload, adapter);
    }
}

void AgentCore::orderList(TimePoint now)
{
    if (listInFlight_ || now < nextListAt_)
        return;
    listInFlight_ = true;
    addOrder(EngineOrder::Kind::List, AdapterId{});
}

void AgentCore::orderDone(const EngineOrder &order, const Result<void> &result, TimePoint now)
{
    if (!result && result.error().code_ == ErrorCode::StaleFencingNumber)
        refusedFencing_ = std::max(refusedFencing_, order.fencing_);
    if (!result && result.error().execution_ == Execution::OutcomeUnknown)
        requestList();
    if (order.kind_ == EngineOrder::Kind::Unload) {
        --unloadsInFlight_;
        cache_.evictionDone(order.adapter_, result, now);
        return;
    }
    --loadsInFlight_;
    cache_.loadDone(order.adapter_, result, now);
    if (cache_.backOffUntil(order.adapter_, now))
        refuseWaitingFor(order.adapter_, now);
}

void AgentCore::listDone(const EngineOrder &order, const Result<std::vector<EngineAdapter>> &result,
                         TimePoint now)
{
    listInFlight_ = false;
    if (result) {
        cache_.reconcile(*result, order.mark_, now);
        engineListRead_ = engineListRead_ || order.fencing_ == fencing_;
    }
    const bool soon = !engineListRead_ || !result || cache_.needsReconciliation();
    nextListAt_ = now + (soon ? settings_.listRetry_ : settings_.listInterval_);
}

TimePoint AgentCore::nextDecisionTime() const
{
    const TimePoint deadline = queue_.earliestDeadline();
    return listInFlight_ ? deadline : std::min(deadline, nextListAt_);
}

AgentSnapshot AgentCore::snapshot() const
{
    return AgentSnapshot{
        .resident_ = cache_.adaptersInState(SlotState::Resident),
        .loading_ = cache_.adaptersInState(SlotState::Loading),
        .running_ = running_.size(),
        .waiting_ = queue_.size(),
        .maxRunning_ = settings_.maxRunning_,
        .loadsInFlight_ = loadsInFlight_,
        .draining_ = draining_,
        .recovered_ = engineListRead_,
        .waitingByWorkspace_ = queue_.waitingByWorkspace(),
    };
}

} // namespace foxtailturn
