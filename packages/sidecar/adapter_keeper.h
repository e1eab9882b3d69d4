#pragma once

// Decides which orders an engine gets, so that it holds the adapters that entries ask for.
//
//     AdapterKeeper keeper("vm-1", firstToken);
//     keeper.onReport(report, now);
//     keeper.want(loadRequest, now);
//     if (std::optional<EngineOrder> order = keeper.next(now)) { give it; keeper.onAnswer(...); }
//
// One keeper is the only source of orders of its engine, so no lease is needed. One order is given
// at a time, on a fresh report, and carries the number of orders that the engine had accepted: an
// order that is carried out late is void once another one was accepted.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/agent_messages.h"
#include "gateway/codec.h"

namespace foxtailturn::gateway {

enum class OrderOutcome {
    Accepted, // carried out now or done already
    Rejected, // another order is under way, or the count of orders differs
    StaleToken, // a higher fencing token was seen
    OtherInstance, // the engine is another incarnation
    Unknown, // no answer: it may be carried out now or later
};

// Not thread-safe.
class AdapterKeeper
{
public:
    // Adapters on their way to one engine at a time, at most.
    static constexpr std::size_t kMostLoading = 4;
    // A request for an adapter that could not be met in this time is refused.
    static constexpr Duration kWantFor = std::chrono::milliseconds(1300);
    // An adapter that was used this recently is not dropped: its next request may be on the way.
    static constexpr Duration kKeepAfterUse = std::chrono::milliseconds(250);

    // holder names this VM. firstToken must not be below one that an earlier process used here.
    AdapterKeeper(std::string holder, std::int64_t firstToken);

    // Takes the engine's newest report.
    void onReport(const EngineReport &report, TimePoint now);

    // An entry asks for an adapter or a model.
    void want(const LoadRequest &request, TimePoint now);

    // An entry's requests begin and end. What an entry used ends with its connection.
    void use(int entry, const UseNotice &notice, TimePoint now);
    void forgetEntry(int entry, TimePoint now);

    // Returns the order to give now; nullopt if there is none, or a fresh report is needed first.
    [[nodiscard]] std::optional<EngineOrder> next(TimePoint now);

    // Tells the outcome of the order from next().
    void onAnswer(OrderOutcome outcome, TimePoint now);

    // Returns the requests that could not be met, once.
    [[nodiscard]] std::vector<std::string> takeRefused(TimePoint now);

    // Returns the report for the entries: with the adapters that are about to be ordered and the
    // expected uses of the one that a further load would drop.
    [[nodiscard]] SidecarReport summary(TimePoint now) const;

    // Returns whether an order or a load is under way, so that reports should be read often.
    [[nodiscard]] bool isActive() const;

    [[nodiscard]] std::int64_t fencingToken() const { return token_; }

private:
    struct Want
    {
        LoadRequest request_;
        TimePoint since_{};
        TimePoint until_{};
    };

    // Uses of late: each counts less as time passes.
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
    bool isKnown_ = false; // whether there was a report
    bool hasFreshReport_ = false;
    std::string instance_; // as the entries know the engine
    int slots_ = 0;
    std::map<std::string, Want> wants_; // by adapter name
    std::map<std::string, std::map<int, int>> uses_; // adapter name, entry, requests
    std::map<std::string, TimePoint> lastUse_;
    std::map<std::string, Popularity> popularity_;
    std::vector<std::string> refused_;
};

} // namespace foxtailturn::gateway
