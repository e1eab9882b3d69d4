#pragma once

// Registry of the entry's targets: their records in the store, engine reports, the entry's own
// requests in flight and the results of its attempts.
//
//     TargetRegistry registry(unlistedUse);
//     registry.list(record, now);                       // from the store
//     registry.report(address, engineReport, now);      // from the sidecar
//     for (Target *target : registry.availableTargets("models", now)) { ... }

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "gateway/adapter_hosts.h"
#include "gateway/target.h"
#include "gateway/target_index.h"

namespace foxtailturn::gateway {

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

    // Sets the data centres whose targets get nothing new. Those that are taken back count as cold.
    void setEvacuated(std::set<std::string> dataCentres, TimePoint now);

    // Records that the store has no record of the target any more.
    void markUnlisted(const std::string &instance, TimePoint now);

    // Unlists all targets except the given ones.
    void retainOnly(const std::vector<std::string> &instances, TimePoint now);

    // The same two for a store that has come back from a copy, whose records may be older than what
    // is known. An incarnation that has left since stays so; one that the copy lacks has come
    // since.
    bool listCopy(const TargetRecord &record, TimePoint now);
    void retainOnlyCopy(const std::vector<std::string> &instances, TimePoint now);

    // Returns the addresses at which a target was listed, moved or unlisted since the last call.
    [[nodiscard]] std::set<std::string> takeChangedAddresses();

    // Lists the targets whose records a copy has brought back and that are still there some time
    // later. Returns whether there are any.
    bool confirmCopies(TimePoint now);

    // Stores an engine's report, which arrived at arrivedAt. A report of an earlier incarnation is
    // ignored; one of a later incarnation marks the target as superseded.
    AdapterChanges report(const std::string &address, const EngineReport &report,
                          TimePoint arrivedAt);

    // Records whether the sidecar of the engine at the address is connected.
    void setAgentConnected(const std::string &address, bool isLinked);

    // Record that this entry has requested a load from the target's sidecar, or expects none any
    // more.
    void recordLoadRequest(Target &target, const std::string &name, const RequestedLoad &load);
    void forgetLoadRequest(Target &target, const std::string &name);

    // Record the outcome of an attempt. A failure makes the target suspect for a time that doubles
    // with each consecutive failure, up to a limit.
    void succeeded(Target &target);
    void failed(Target &target, TimePoint now);

    // Sets how long targets are cold after a start, by service. Targets of other services are never
    // held for cold.
    void setColdTimes(std::map<std::string, Duration> coldTimes)
    {
        coldTimes_ = std::move(coldTimes);
    }

    // Records a sign that the target may be cold: from now on, or since it has been up for upFor.
    void presumeCold(Target &target, TimePoint now, placement::ColdReason reason,
                     Duration upFor = Duration::zero());

    // Records that no connection to the target could be opened, or that its sidecar reports it
    // unreachable; and that it is back.
    void markUnreachable(Target &target);
    void markReachable(Target &target) { target.cold_.setUnreachable(false); }

    // Calls onCold for each target that is held for cold since the last call, and onWarm for each
    // that isn't any more. Returns how many are.
    std::size_t reviewCold(TimePoint now, const std::function<void(const Target &)> &onCold,
                           const std::function<void(const Target &)> &onWarm);

    // Returns the targets of a service that may get new requests, including suspect ones.
    [[nodiscard]] std::vector<Target *> availableTargets(const std::string &service, TimePoint now);

    // The targets by the adapters that they host or load. Changes of targets through the registry
    // are in it at once.
    [[nodiscard]] AdapterHosts &hosts() { return hosts_; }
    [[nodiscard]] const AdapterHosts &hosts() const { return hosts_; }

    // Returns the targets at an address, in the order of their instances: usually one, and its
    // earlier incarnations. The reference is valid until a target is listed or removed.
    [[nodiscard]] const TargetSet &atAddress(const std::string &address);

    [[nodiscard]] Target *find(const std::string &instance);
    [[nodiscard]] std::vector<Target *> all();

    // Removes targets that have been unlisted for some time and have no requests in flight.
    void removeStale(TimePoint now);

    // Returns how many targets and entries of indices the calls so far have visited. What one
    // message adds must not depend on the number of targets.
    [[nodiscard]] std::uint64_t visits() const { return visits_ + hosts_.visits(); }

private:
    void setRecord(Target &target, const TargetRecord &record);
    void setListed(Target &target);
    void presumeColdUntil(Target &target, TimePoint until, placement::ColdReason reason);
    void discardIncarnation(Target &target, TimePoint now);
    void markOlderSuperseded(const std::string &service, const std::string &address);
    void unlist(const std::string &instance, TimePoint now, Duration grace);
    void unlistAllExcept(std::vector<std::string> instances, TimePoint now, Duration grace);
    [[nodiscard]] const TargetSet &visit(const TargetSet &targets);

    Duration unlistedGrace_;
    std::map<std::string, std::unique_ptr<Target>> targets_; // by instance
    TargetIndex byAddress_;
    TargetIndex byService_;
    std::map<std::string, Duration> coldTimes_; // by service
    TargetSet newlyCold_;
    TargetSet cold_;
    bool hasSnapshot_ = false; // all targets that were listed at the start are known
    TargetSet unlisted_; // those whose record was removed
    AdapterHosts hosts_;
    std::set<std::string> changedAddresses_;
    std::set<std::string> evacuated_; // data centres
    std::uint64_t visits_ = 0;
};

} // namespace foxtailturn::gateway
