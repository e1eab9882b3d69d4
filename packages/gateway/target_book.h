#pragma once

// What an entry knows of its targets: the store's records, engines' reports, its own work there and
// how answers came.
//
//     TargetBook book;
//     book.list(record, now);                       // from the store
//     book.report(instance, engineReport, now);     // from the process beside the engine
//     for (Target *target : book.ofService("models")) { ... }

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/codec.h"

namespace foxtailturn::gateway {

// Names an adapter on a target: MODEL/ADAPTER, or MODEL alone.
[[nodiscard]] std::string adapterName(const std::string &model, const std::string &adapter);

// One incarnation of a target.
struct Target
{
    TargetRecord record_;
    TimePoint usableUntil_ = TimePoint::max(); // set when its record was removed from the store
    // Another incarnation was seen at its address. Its own record stays listed for some seconds.
    bool isSuperseded_ = false;

    EngineReport report_;
    TimePoint reportedAt_{}; // zero: no report yet
    bool isAgentLinked_ = false; // a process beside it takes load orders
    double evictionCost_ = 0; // expected uses of the adapter that a further load would drop

    int inFlight_ = 0; // own requests
    std::int64_t pendingPrompt_ = 0; // own prompt tokens whose first event has not come
    int pendingCount_ = 0;
    std::map<std::string, TimePoint> loadsAsked_; // by adapter name

    int failuresInRow_ = 0;
    TimePoint suspectUntil_{};

    // Returns the version of an adapter that the target holds; nullopt if it does not, or is
    // loading it.
    [[nodiscard]] std::optional<std::int64_t> versionOf(const std::string &model,
                                                        const std::string &adapter) const;

    // Returns whether the model itself is there.
    [[nodiscard]] bool hostsModel(const std::string &model) const;

    [[nodiscard]] bool isLoading(const std::string &name) const;
    [[nodiscard]] bool isSuspect(TimePoint now) const { return now < suspectUntil_; }
    [[nodiscard]] bool hasReport() const { return reportedAt_ != TimePoint{}; }
};

// What a report changed.
struct AdapterChanges
{
    Target *target_ = nullptr; // null: the report is of no target that is known
    std::set<std::string> names_; // models and adapters that have come, gone or begun to load
};

// How targets' records are followed.
struct TargetTimes
{
    // Between two calls of the store. Records change with each heartbeat; collecting them saves
    // calls.
    Duration pause_{};
    // A target whose record vanished without a notice may still be served for this time: the store
    // drops records of live targets during its own outages, and they come back about two seconds
    // later.
    Duration unlistedUse_{};

    bool operator==(const TargetTimes &) const = default;
};

// Returns times by which no request reaches a leaving target later than drainNotice after the store
// has its notice, or has dropped its record. Thread-safe.
[[nodiscard]] TargetTimes targetTimesFor(Duration drainNotice);

// Not thread-safe. Pointers to targets stay valid until sweep().
class TargetBook
{
public:
    explicit TargetBook(Duration unlistedUse)
        : unlistedUse_(unlistedUse)
    { }

    // Adds or updates a target. Returns whether anything but its adapters changed.
    bool list(const TargetRecord &record, TimePoint now);

    // Notes that another instance answers at the target's address.
    void supersede(Target &target);

    // Notes that the store has no record of the target any more.
    void unlist(const std::string &instance, TimePoint now);

    // Unlists every target that is not among the given ones.
    void keepOnly(const std::vector<std::string> &instances, TimePoint now);

    // Takes an engine's report. One of another incarnation is ignored.
    AdapterChanges report(const std::string &address, const EngineReport &report, TimePoint now);

    // Notes that the process beside the engine at this address can or can't be reached.
    void setAgentLinked(const std::string &address, bool isLinked);

    // Outcome of an attempt. A failure makes the target suspect for a time that doubles with each
    // further one.
    void succeeded(Target &target);
    void failed(Target &target, TimePoint now);

    // Returns the targets of a service that may get new requests, suspects included.
    [[nodiscard]] std::vector<Target *> ofService(const std::string &service, TimePoint now);

    [[nodiscard]] Target *find(const std::string &instance);
    [[nodiscard]] std::vector<Target *> all();

    // Forgets unlisted targets without own requests.
    void sweep(TimePoint now);

private:
    void findNewest(const std::string &address);

    Duration unlistedUse_;
    std::map<std::string, std::unique_ptr<Target>> targets_; // by instance
};

} // namespace foxtailturn::gateway
