#pragma once

// The scheduling logic of AgentScheduler as a state machine without threads or I/O: it takes events
// and returns decisions. Benchmarks and tests run it in virtual time.
//
//     AgentCore core(settings);
//     core.submit(request, now);
//     AgentDecisions decisions = core.decide(now, fencing); // nullopt: lease not held
//     // run decisions.admitted_, answer decisions.refused_, give decisions.orders_ to the engine
//     core.orderDone(order, result, now); core.finish(requestId);

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "adapters/adapter_cache.h"
#include "adapters/fair_queue.h"
#include "adapters/load_scheduler.h"
#include "adapters/work_request.h"

namespace foxtailturn {

struct AgentSettings
{
    std::size_t slots_ = 32; // maximum number of adapters that the engine holds
    std::size_t maxRunning_ = 16; // maximum number of running requests
    std::size_t maxBatchRunning_ = 12; // limit for batch, so that capacity remains for chat
    std::size_t maxWaiting_ = 512; // above it, the workspace with the most waiting work is refused
    std::size_t maxLoads_ = 2; // maximum number of loads and unloads in flight
    // Tokens by which a request may overtake others when its adapter is used by a running request.
    double groupingSlack_ = 2000;
    Duration popularityHalfLife_ = std::chrono::minutes(5);
    Duration orderTimeout_ = std::chrono::seconds(10);
    Duration listInterval_ = std::chrono::seconds(5);
    Duration listRetry_ = std::chrono::milliseconds(
        500); // until the list is read, after a failed one, or while an outcome is unknown

    bool operator==(const AgentSettings &) const = default;
};

// State reported in heartbeats and state dumps.
struct AgentSnapshot
{
    std::vector<AdapterId> resident_;
    std::vector<AdapterId> loading_;
    std::size_t running_ = 0;
    std::size_t waiting_ = 0;
    std::size_t maxRunning_ = 0;
    std::size_t loadsInFlight_ = 0;
    bool draining_ = false;
    bool recovered_ = false; // the engine's list was read
    std::map<std::string, std::size_t> waitingByWorkspace_;

    bool operator==(const AgentSnapshot &) const = default;
};

// An order to be sent to the engine.
struct EngineOrder
{
    enum class Kind { Load, Unload, List };

    Kind kind_ = Kind::List;
    AdapterId adapter_; // empty for List
    FencingNumber fencing_ = 0;
    std::uint64_t mark_ = 0; // for List: AdapterCache::changeMark()

    bool operator==(const EngineOrder &) const = default;
};

struct AdmittedRequest
{
    std::string id_;
    bool stalled_ = false; // waited for its adapter to be loaded

    bool operator==(const AdmittedRequest &) const = default;
};

struct RefusedRequest
{
    std::string id_;
    Error error_; // always NotRun

    bool operator==(const RefusedRequest &) const = default;
};

struct AgentDecisions
{
    std::vector<AdmittedRequest> admitted_;
    std::vector<RefusedRequest> refused_;
    std::vector<EngineOrder> orders_;
};

// Not thread-safe. Results of submit() and of the other events appear in the next decide().
class AgentCore
{
public:
    explicit AgentCore(const AgentSettings &settings, KeepValue keepValue = leastExpectedUse());

    // Adds a request; its admission or refusal follows from decide(). Precondition: its id neither
    // waits nor runs.
    void submit(const WorkRequest &request, TimePoint now);

    // Ends the wait of a request; returns false if it does not wait.
    bool cancel(const std::string &requestId);

    // Records the end of a running request, and releases its pin and its capacity.
    void finish(const std::string &requestId);

    // Applies the engine's answer to a Load or Unload order. After StaleFencingNumber no order is
    // given and nothing is admitted until decide() gets a larger fencing number.
    void orderDone(const EngineOrder &order, const Result<void> &result, TimePoint now);

    // Applies the engine's answer to a List order.
    void listDone(const EngineOrder &order, const Result<std::vector<EngineAdapter>> &result,
                  TimePoint now);

    // Refuses waiting and later requests; running ones finish.
    void drain() { draining_ = true; }

    // Asks for the engine's list at the next decide().
    void requestList() { nextListAt_ = TimePoint::min(); }

    // Sets a workspace's weight in fair shares, more than 0.
    void setWeight(const std::string &workspace, double weight);

    // Returns all decisions that the events so far allow. Admitted requests run from now on.
    // fencing: the agent's fencing number while its lease is held, else nullopt, in which case
    // waiting requests are refused and no order is given. After a change of the number no
    // request that needs an adapter is admitted, and none is loaded, until the engine's list is
    // read.
    [[nodiscard]] AgentDecisions decide(TimePoint now, std::optional<FencingNumber> fencing);

    // Returns the time at which decide() must be called even without an event: the earliest
    // deadline of a waiting request or the next list.
    [[nodiscard]] TimePoint nextDecisionTime() const;

    // Returns whether a request with this id waits or runs.
    [[nodiscard]] bool contains(const std::string &requestId) const;

    // Returns whether a request with this id waits.
    [[nodiscard]] bool isWaiting(const std::string &requestId) const
    {
        return queue_.contains(requestId);
    }

    // Returns whether nothing runs or waits.
    [[nodiscard]] bool isIdle() const { return running_.empty() && queue_.size() == 0; }

    [[nodiscard]] AgentSnapshot snapshot() const;
    [[nodiscard]] const AdapterCache &cache() const { return cache_; }

private:
    using PlannedLoads = std::unordered_set<AdapterId, AdapterIdHash>;

    struct Running
    {
        WorkRequest request_;
        std::optional<Pin> pin_;
    };

    // Returns the reason why admission and orders are stopped; nullopt if they are not.
    [[nodiscard]] std::optional<Error> stopReason(std::optional<FencingNumber> fencing) const;
    void adoptFencingNumber(FencingNumber fencing);
    void refuse(const WorkRequest &request, Error error);
    void refuseAllWaiting(const Error &error);
    void refuseWaitingFor(const AdapterId &adapter, TimePoint now);
    void refuseOverflow(TimePoint now);
    void refuseExpired(TimePoint now);
    void admit(TimePoint now);
    [[nodiscard]] RunRank runRank(const WorkRequest &request, bool exclusiveNext) const;
    [[nodiscard]] bool isRunnable(const AdapterId &adapter) const;
    [[nodiscard]] bool exclusiveIsNext() const;
    void start(const WorkRequest &request, TimePoint now);
    void orderLoads(TimePoint now);
    void planLoads(TimePoint now);
    [[nodiscard]] std::optional<AdapterId> nextLoad(const PlannedLoads &planned,
                                                    TimePoint now) const;
    void orderLoad(const AdapterId &adapter);
    bool orderEviction(const AdapterId &forAdapter, TimePoint now);
    void vacateFor(const AdapterId &forAdapter, TimePoint now);
    void orderRetries();
    void orderList(TimePoint now);
    void addOrder(EngineOrder::Kind kind, const AdapterId &adapter);

    AgentSettings settings_;
    AdapterCache cache_; // outlives the pins in running_
    FairQueue queue_;
    LoadScheduler loads_;
    std::unordered_map<std::string, Running> running_; // by request id
    std::unordered_map<AdapterId, int, AdapterIdHash> runningByAdapter_;
    std::unordered_map<std::string, AdapterId> exclusiveWaiting_; // by request id
    std::unordered_set<std::string>
        stalled_; // ids of waiting requests whose adapter was not resident at submission
    std::size_t batchRunning_ = 0;
    bool exclusiveRunning_ = false;
    std::size_t loadsInFlight_ = 0;
    std::size_t unloadsInFlight_ = 0;
    AdapterId
        vacating_; // gets no new work, so that its slot can be freed for a request at the head
    AdapterId reservedNext_; // is loaded next, because a wanted adapter was evicted for it
    bool vacatingNeeded_ = false;
    bool listInFlight_ = false;
    bool engineListRead_ = false;
    bool draining_ = false;
    FencingNumber fencing_ = 0; // of the orders being decided
    FencingNumber refusedFencing_ = 0; // the engine refused this one as stale
    TimePoint nextListAt_ = TimePoint::min();
    AgentDecisions decisions_;
};

} // namespace foxtailturn
