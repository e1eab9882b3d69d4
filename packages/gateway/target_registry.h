#pragma once

// Registry of the entry's targets: their records in the store, engine reports, the entry's own
// requests in flight and the results of its attempts.
//
//     TargetRegistry registry(unlistedUse);
//     registry.list(record, now);                       // from the store
//     registry.report(address, engineReport, now);      // from the sidecar
//     for (Target *target : registry.availableTargets("models", now)) { ... }

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/codec.h"
#include "gateway/target_backoff.h"

namespace foxtailturn::gateway {

// Returns the name of an adapter on a target: MODEL/ADAPTER, or MODEL for the base model.
[[nodiscard]] std::string adapterName(const std::string &model, const std::string &adapter);

// A load that the entry has requested from a target's sidecar.
struct RequestedLoad
{
    TimePoint at_{};
    std::int64_t version_ = 0; // 0: the newest

    bool operator==(const RequestedLoad &) const = default;
};

// A target and what the entry knows about it.
struct Target
{
    TargetRecord record_;
    TimePoint usableUntil_ = TimePoint::max(); // set when its record was removed from the store
    // Set when a copy of the store had its record again: it is listed if that is still there then.
    TimePoint listedFrom_ = TimePoint::max();
    bool isLeaving_ = false; // it has said itself that it is about to stop
    // A newer incarnation was seen at its address. This one's record stays in the store for some
    // seconds.
    bool isSuperseded_ = false;

    EngineReport report_;
    TimePoint reportedAt_{}; // zero: no report yet
    bool isAgentConnected_ = false; // its sidecar is connected and accepts load requests
    double evictionCost_ = 0; // expected uses of the adapter that the next load would evict

    int inFlight_ = 0; // requests of this entry
    std::int64_t pendingPrompt_ =
        0; // uncached prompt tokens of this entry's requests without a first event
    int pendingCount_ = 0; // this entry's requests without a first event
    std::map<std::string, RequestedLoad> requestedLoads_; // by adapter name

    int consecutiveFailures_ = 0;
    TimePoint suspectUntil_{};
    TargetBackoff backoff_; // after rejections

    // Returns what the target hosts: as it has reported, or as its record says.
    [[nodiscard]] const std::vector<HostedModel> &hostedModels() const
    {
        return hasReport() ? report_.models_ : record_.models_;
    }

    // Returns the version of the adapter on the target; nullopt if it is absent or being loaded.
    // The base model has version 0.
    [[nodiscard]] std::optional<std::int64_t> versionOf(const std::string &model,
                                                        const std::string &adapter) const;

    // Returns whether this incarnation may get new work.
    [[nodiscard]] bool isInService() const
    {
        return record_.phase_ == TargetPhase::Ready && !isLeaving_ && !isSuperseded_;
    }

    // Returns whether the base model is loaded.
    [[nodiscard]] bool hostsModel(const std::string &model) const;

    [[nodiscard]] bool isLoading(const std::string &name) const;
    [[nodiscard]] bool isSuspect(TimePoint now) const { return now < suspectUntil_; }
    [[nodiscard]] bool hasReport() const { return reportedAt_ != TimePoint{}; }
};

// Models and adapters that an engine's report changed.
struct AdapterChanges
{
    Target *target_ = nullptr; // null: the report is of an unknown target
    std::set<std::string>
        names_; // those loaded, unloaded, with a new version, or with a load begun or ended
};

// Times of following the target records in the store.
struct TargetTimes
{
    // Interval between two reads of the store. Each heartbeat changes a record, so reading several
    // changes at once saves calls.
    Duration pause_{};
    // How long a target still gets requests after its record was removed without a drain notice.
    // The store loses records of live targets in its own outages; they are back about two seconds
    // later.
    Duration unlistedGrace_{};

    bool operator==(const TargetTimes &) const = default;
};

// Returns times that ensure that no request reaches a draining or removed target later than
// drainNotice after the store has its drain notice or has removed its record. Thread-safe.
[[nodiscard]] TargetTimes targetTimesFor(Duration drainNotice);

// Not thread-safe. Pointers to targets stay valid until removeStale().
class TargetRegistry
{
public:
    explicit TargetRegistry(Duration unlistedUse)
        : unlistedGrace_(unlistedUse)
    { }

    // Adds or updates a target. Returns whether an attribute that matters for routing, other than
    // its adapters, has changed.
    bool list(const TargetRecord &record, TimePoint now);

    // Marks the target as superseded: another instance answers at its address.
    void markSuperseded(Target &target);

    // Records that the target has said that it is about to stop. This holds until it is started
    // again, whatever its record says. Returns whether it is news.
    bool markLeaving(const std::string &instance);

    // Records that the store has no record of the target any more.
    void markUnlisted(const std::string &instance, TimePoint now);

    // Unlists all targets except the given ones.
    void retainOnly(const std::vector<std::string> &instances, TimePoint now);

    // The same two for a store that has come back from a copy, whose records may be older than what
    // is known. An incarnation that has left since stays so; one that the copy lacks has come
    // since.
    bool listCopy(const TargetRecord &record, TimePoint now);
    void retainOnlyCopy(const std::vector<std::string> &instances, TimePoint now);

    // Lists the targets whose records a copy has brought back and that are still there some time
    // later. Returns whether there are any.
    bool confirmCopies(TimePoint now);

    // Stores an engine's report. A report of an earlier incarnation is ignored; one of a later
    // incarnation marks the target as superseded.
    AdapterChanges report(const std::string &address, const EngineReport &report, TimePoint now);

    // Records whether the sidecar of the engine at the address is connected.
    void setAgentConnected(const std::string &address, bool isLinked);

    // Record the outcome of an attempt. A failure makes the target suspect for a time that doubles
    // with each consecutive failure, up to a limit.
    void succeeded(Target &target);
    void failed(Target &target, TimePoint now);

    // Returns the targets of a service that may get new requests, including suspect ones.
    [[nodiscard]] std::vector<Target *> availableTargets(const std::string &service, TimePoint now);

    [[nodiscard]] Target *find(const std::string &instance);
    [[nodiscard]] std::vector<Target *> all();

    // Removes targets that have been unlisted for some time and have no requests in flight.
    void removeStale(TimePoint now);

private:
    void markOlderSuperseded(const std::string &service, const std::string &address);
    void unlist(const std::string &instance, TimePoint now, Duration grace);

    Duration unlistedGrace_;
    std::map<std::string, std::unique_ptr<Target>> targets_; // by instance
};

} // namespace foxtailturn::gateway
