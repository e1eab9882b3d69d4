#pragma once

// An entry's view of the targets: names and addresses come from the settings or the membership,
// load and resident adapters from heartbeats; the entry adds its own requests in flight.
//
//     TargetDirectory directory(clock);
//     directory.setTargets(targetsFromMembership);
//     directory.heartbeat(report);
//     std::vector<TargetView> targets = directory.usable("engines");
//
// A target whose heartbeat deadline has passed counts as unreachable until the next heartbeat. A
// leaving target gets no work from kLeavingGrace after the entry learned that it leaves.

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "adapters/adapter_id.h"
#include "base/clock.h"

namespace foxtailturn {

// Agents send heartbeats every 0.5 s; three lost ones in a row mark the target unreachable.
constexpr Duration kHeartbeatTimeout = std::chrono::seconds(2);
// How long a leaving target may still get work, and only if its group has no live target. Design
// invariant 10 allows 3 s.
constexpr Duration kLeavingGrace = std::chrono::seconds(2);
// How long a target counts as unreachable after a failed connection, unless a heartbeat arrives
// earlier.
constexpr Duration kUnreachableTime = std::chrono::seconds(2);

enum class TargetState { Live, Draining, Leaving, Unreachable };

// A target as listed in the settings or the membership.
struct TargetInfo
{
    std::string name_;
    std::string group_; // targets of one group are interchangeable, for example "engines"
    std::string dataCentre_;
    std::string address_; // IP address and port of its agent
    bool leaving_ = false;

    bool operator==(const TargetInfo &) const = default;
};

using AdapterSet = std::unordered_set<AdapterId, AdapterIdHash>;

// One heartbeat of a target's agent.
struct TargetReport
{
    std::string name_;
    std::string incarnation_; // of the agent; sequence_ increases within it
    std::uint64_t sequence_ = 0;
    std::size_t running_ = 0;
    std::size_t waiting_ = 0;
    std::size_t maxRunning_ = 1;
    std::size_t loadsInFlight_ = 0;
    bool draining_ = false;
    std::vector<AdapterId> resident_;
    std::vector<AdapterId> loading_;

    bool operator==(const TargetReport &) const = default;
};

// A snapshot of the state of one target.
struct TargetView
{
    TargetInfo info_;
    TargetState state_ = TargetState::Live;
    std::shared_ptr<const AdapterSet> resident_; // never null; includes adapters being loaded
    std::size_t load_ = 0; // reported requests, corrected by this entry's own requests in flight
    std::size_t maxRunning_ = 1;
    std::size_t loadsInFlight_ = 0;

    [[nodiscard]] bool has(const AdapterId &id) const { return resident_->contains(id); }
};

// Thread-safe.
class TargetDirectory
{
public:
    // clock must outlive this object.
    explicit TargetDirectory(const Clock &clock);

    // Replaces the list of targets. Targets that are missing from the list or marked as leaving
    // become leaving; new targets are Unreachable until their first heartbeat. Thread-safe.
    void setTargets(const std::vector<TargetInfo> &targets);

    // Applies a heartbeat. Returns false and ignores the report if the target is unknown, if the
    // report is not newer than the last one of the same incarnation, or if it belongs to an earlier
    // incarnation. Thread-safe.
    bool heartbeat(const TargetReport &report);

    // Records a failed connection to the target: it counts as unreachable for kUnreachableTime or
    // until the next heartbeat. Thread-safe.
    void markUnreachable(const std::string &name);

    // Records that the target's agent answered TargetDraining: the target gets no work until a new
    // incarnation of the agent reports. Thread-safe.
    void markDraining(const std::string &name);

    // Count one of this entry's requests as in flight from begin() to end(). The adapter counts as
    // resident until the next heartbeat, because the agent loads it for this request. Thread-safe.
    void begin(const std::string &name, const AdapterId &adapter);
    void end(const std::string &name);

    // Returns the targets of a group that may get work now: the live ones or, if there are none,
    // the leaving ones whose deadline has not passed. Thread-safe.
    [[nodiscard]] std::vector<TargetView> usable(const std::string &group) const;

    // Returns all targets, for state dumps. Thread-safe.
    [[nodiscard]] std::vector<TargetView> all() const;

    // Returns the earliest time at which a target of the group may become usable again, for
    // Error::retryAt_. Thread-safe.
    [[nodiscard]] TimePoint retryAt(const std::string &group) const;

private:
    struct Target
    {
        TargetInfo info_;
        std::string incarnation_;
        // All incarnations that have reported; late reports of an earlier one are ignored.
        std::set<std::string> knownIncarnations_;
        std::uint64_t sequence_ = 0;
        TimePoint heartbeatDeadline_ = TimePoint::min(); // unreachable from this time
        TimePoint unreachableUntil_ = TimePoint::min();
        TimePoint noWorkAfter_ = TimePoint::max(); // finite if the target is leaving
        bool draining_ = false;
        std::size_t reportedLoad_ = 0;
        std::size_t maxRunning_ = 1;
        std::size_t loadsInFlight_ = 0;
        std::size_t inFlight_ = 0; // this entry's requests in flight
        std::size_t inFlightAtReport_ = 0; // inFlight_ when the last heartbeat arrived
        std::shared_ptr<const AdapterSet> resident_ = std::make_shared<AdapterSet>();
    };

    [[nodiscard]] TargetState stateOf(const Target &target, TimePoint now) const;
    [[nodiscard]] TargetView viewOf(const Target &target, TimePoint now) const;
    static void addResident(Target &target, const AdapterId &adapter);

    const Clock &clock_;
    mutable std::mutex mutex_;
    std::map<std::string, Target> targets_;
};

} // namespace foxtailturn
