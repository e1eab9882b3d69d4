#pragma once

// Decides which load and unload orders an engine gets, so that it holds the adapters that entries
// request.
//
//     AdapterManager manager("vm-1", firstToken);
//     manager.onReport(report, now);
//     manager.requestLoad(loadRequest, now);
//     if (std::optional<EngineOrder> order = manager.nextOrder(now)) { send it;
//     manager.onOrderOutcome(...); }
//
// An engine gets orders from one instance of this class only, so no lease is needed. At most one
// order is outstanding, and each needs a report that is newer than the previous order. An order
// carries the number of orders that the engine had accepted, so the engine rejects a delayed order
// once it has accepted another one.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/agent_messages.h"
#include "gateway/codec.h"

namespace foxtailturn::gateway {

enum class OrderOutcome {
    Accepted, // in progress or already done
    Rejected, // another order is in progress, or the number of accepted orders differs
    StaleToken, // the engine has seen a higher fencing token
    OtherInstance, // the engine is another incarnation than the order names
    Unknown, // no answer: the engine may carry it out now or later
};

// Not thread-safe.
class AdapterManager
{
public:
    // Maximum number of adapters that one engine loads at a time.
    static constexpr std::size_t kMaxConcurrentLoads = 4;
    // A load request that is not satisfied within this time is refused.
    static constexpr Duration kLoadRequestTimeout = std::chrono::milliseconds(1300);
    // An adapter is not evicted within this time after its last use, since the next request for it
    // may already be in transit.
    static constexpr Duration kMinIdleBeforeEviction = std::chrono::milliseconds(250);

    // holder names this VM. firstToken must not be lower than any fencing token that an earlier
    // process used on this VM.
    AdapterManager(std::string holder, std::int64_t firstToken);

    // Processes the engine's latest report.
    void onReport(const EngineReport &report, TimePoint now);

    // Adds or renews an entry's request for an adapter or a model.
    void requestLoad(const LoadRequest &request, TimePoint now);

    // Records that a request of an entry begins or ends. removeEntry() ends all requests of an
    // entry whose connection was closed.
    void onUseNotice(int entry, const UseNotice &notice, TimePoint now);
    void removeEntry(int entry, TimePoint now);

    // Returns the order to send now; nullopt if there is none, a newer report is needed first, or
    // the engine is busy or draining.
    [[nodiscard]] std::optional<EngineOrder> nextOrder(TimePoint now);

    // Records the outcome of the order that nextOrder() returned.
    void onOrderOutcome(OrderOutcome outcome, TimePoint now);

    // Returns the names of the load requests that timed out since the last call.
    [[nodiscard]] std::vector<std::string> takeRefusedLoads(TimePoint now);

    // Returns the report for the entries: the engine's report, in which pending load requests count
    // as loading, and the expected uses of the adapter that a further load would evict.
    [[nodiscard]] SidecarReport reportForEntries(TimePoint now) const;

    // Returns whether a load is pending or in progress, so that reports should be read more often.
    [[nodiscard]] bool hasPendingLoads() const;

    [[nodiscard]] std::int64_t fencingToken() const { return token_; }

private:
    struct PendingLoad
    {
        LoadRequest request_;
        TimePoint requestedAt_{};
        TimePoint deadline_{};
    };

    // Number of uses, with exponential decay.
    struct Popularity
    {
        double decayedUses_ = 0;
        TimePoint at_{};
    };

    [[nodiscard]] const HostedModel *findModel(const std::string &model) const;
    [[nodiscard]] bool isSatisfied(const PendingLoad &pending) const;
    [[nodiscard]] bool isLoading(const std::string &name) const;
    [[nodiscard]] std::size_t usedSlots() const;
    [[nodiscard]] std::optional<std::string> evictionCandidate(TimePoint now) const;
    [[nodiscard]] double popularity(const std::string &name, TimePoint now) const;
    void recordUse(const std::string &name, TimePoint now);
    [[nodiscard]] std::vector<const PendingLoad *> pendingLoadsByAge() const;
    [[nodiscard]] EngineOrder makeOrder(OrderKind kind, const std::string &name) const;

    std::string holder_;
    std::int64_t token_;
    EngineReport report_;
    bool hasReport_ = false; // whether a report has been received
    bool hasFreshReport_ = false;
    std::string instance_; // the engine's incarnation as entries know it
    int slots_ = 0;
    std::map<std::string, PendingLoad> pendingLoads_; // by adapter name
    std::map<std::string, std::map<int, int>> activeRequests_; // adapter, entry, count
    std::map<std::string, TimePoint> lastUsedAt_;
    std::map<std::string, Popularity> popularities_;
    std::vector<std::string> refusedLoads_;
};

} // namespace foxtailturn::gateway
