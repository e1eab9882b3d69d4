#pragma once

// Decides which load and unload orders an engine gets, so that it holds the adapters that entries
// request.
//
//     AdapterKeeper keeper("vm-1", firstToken);
//     keeper.onReport(report, now);
//     keeper.want(loadRequest, now);
//     if (std::optional<EngineOrder> order = keeper.next(now)) { send it; keeper.onAnswer(...); }
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
class AdapterKeeper
{
public:
    // Maximum number of adapters that one engine loads at a time.
    static constexpr std::size_t kMostLoading = 4;
    // A load request that is not satisfied within this time is refused.
    static constexpr Duration kWantFor = std::chrono::milliseconds(1300);
    // An adapter is not evicted within this time after its last use, since the next request for it
    // may already be in transit.
    static constexpr Duration kKeepAfterUse = std::chrono::milliseconds(250);

    // holder names this VM. firstToken must not be lower than any fencing token that an earlier
    // process used on this VM.
    AdapterKeeper(std::string holder, std::int64_t firstToken);

    // Processes the engine's latest report.
    void onReport(const EngineReport &report, TimePoint now);

    // Adds or renews an entry's request for an adapter or a model.
    void want(const LoadRequest &request, TimePoint now);

    // Records that a request of an entry begins or ends. forgetEntry() ends all requests of an
    // entry whose connection was closed.
    void use(int entry, const UseNotice &notice, TimePoint now);
    void forgetEntry(int entry, TimePoint now);

    // Returns the order to send now; nullopt if there is none, a newer report is needed first, or
    // the engine is busy or draining.
    [[nodiscard]] std::optional<EngineOrder> next(TimePoint now);

    // Records the outcome of the order that next() returned.
    void onAnswer(OrderOutcome outcome, TimePoint now);

    // Returns the names of the load requests that timed out since the last call.
    [[nodiscard]] std::vector<std::string> takeRefused(TimePoint now);

    // Returns the report for the entries: the engine's report, in which pending load requests count
    // as loading, and the expected uses of the adapter that a further load would evict.
    [[nodiscard]] SidecarReport summary(TimePoint now) const;

    // Returns whether a load is pending or in progress, so that reports should be read more often.
    [[nodiscard]] bool isActive() const;

    [[nodiscard]] std::int64_t fencingToken() const { return token_; }

private:
    struct Want
    {
        LoadRequest request_;
        TimePoint since_{};
        TimePoint until_{};
    };

    // Number of uses, with exponential decay.
    struct Popularity
    {
        double uses_ = 0;
        TimePoint at_{};
    };

    [[nodiscard]] const HostedModel *hosted(const std::string &model) const;
    [[nodiscard]] bool isMet(const Want &want) const;
    [[nodiscard]] bool isLoading(const std::string &name) const;
    [[nodiscard]] std::size_t occupied() const;
    [[nodiscard]] std::optional<std::string> victim(TimePoint now) const;
    [[nodiscard]] double popularity(const std::string &name, TimePoint now) const;
    void countUse(const std::string &name, TimePoint now);
    [[nodiscard]] std::vector<const Want *> wantsByAge() const;
    [[nodiscard]] EngineOrder order(OrderKind kind, const std::string &name) const;

    std::string holder_;
    std::int64_t token_;
    EngineReport report_;
    bool isKnown_ = false; // whether a report has been received
    bool hasFreshReport_ = false;
    std::string instance_; // the engine's incarnation as entries know it
    int slots_ = 0;
    std::map<std::string, Want> wants_; // by adapter name
    std::map<std::string, std::map<int, int>> uses_; // adapter name, entry, number of requests
    std::map<std::string, TimePoint> lastUse_;
    std::map<std::string, Popularity> popularity_;
    std::vector<std::string> refused_;
};

} // namespace foxtailturn::gateway
