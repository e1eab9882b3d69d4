#pragma once

// What an entry knows about targets: settings or membership give names and places, heartbeats give
// load and resident adapters, and the entry counts its own requests in flight.
//
//     TargetDirectory directory(clock);
//     directory.setTargets(targetsFromMembership);
//     directory.heartbeat(report);
//     std::vector<TargetView> targets = directory.usable("engines");
//
// A target without a heartbeat by its stored deadline counts as unreachable until the next one. A
// leaving target gets no work after its stored deadline, at most kLeavingGrace after the entry
// learned of it.

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
// Design invariant 10 allows 3 s. A leaving target is used only when no live one is left, and not
// after this time.
constexpr Duration kLeavingGrace = std::chrono::seconds(2);
// After a failed connection, unless a heartbeat shows earlier that the target is back.
constexpr Duration kUnreachableTime = std::chrono::seconds(2);

enum class TargetState { Live, Draining, Leaving, Unreachable };

// A target as settings or membership name it.
struct TargetInfo
{
    std::string name_;
    std::string group_; // targets of one group are interchangeable, for example "engines"
    std::string dataCentre_;
    std::string address_; // IP number and port of its agent
    bool leaving_ = false;

    bool operator==(const TargetInfo &) const = default;
};

using AdapterSet = std::unordered_set<AdapterId, AdapterIdHash>;

// One heartbeat of a target's agent.
struct TargetReport
{
    std::string name_;
    std::string incarnation_; // of the agent; sequence_ counts within it
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

// A copy of what is known about one target.
struct TargetView
{
    TargetInfo info_;
    TargetState state_ = TargetState::Live;
    std::shared_ptr<const AdapterSet> resident_; // never null; includes adapters being loaded
    std::size_t load_ = 0; // requests there: reported ones corrected by own requests in flight
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

    // Takes the list of targets. A target missing from the list, or marked as leaving, is leaving
    // from now on; new ones are Unreachable until their first heartbeat. Thread-safe.
    void setTargets(const std::vector<TargetInfo> &targets);

    // Applies a heartbeat. Reports of unknown targets, and reports older than the newest one of
    // the same incarnation, are ignored and return false. Thread-safe.
    bool heartbeat(const TargetReport &report);

    // A connection to the target failed: it is unreachable for kUnreachableTime or until the next
    // heartbeat. Thread-safe.
    void connectionFailed(const std::string &name);

    // The target's agent answered TargetDraining: no more work until a new incarnation reports.
    // Thread-safe.
    void refusedAsDraining(const std::string &name);

    // Counts an own request in flight from begin() to end(). adapter is taken as resident until
    // the next heartbeat, because the agent loads it for this request. Thread-safe.
    void begin(const std::string &name, const AdapterId &adapter);
    void end(const std::string &name);

    // Returns the targets of a group that may get work now: the live ones, or when there are none
    // the leaving ones before their deadline. Thread-safe.
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
        std::set<std::string> earlier_; // incarnations seen; a late report of one is ignored
        std::uint64_t sequence_ = 0;
        TimePoint heartbeatDeadline_ = TimePoint::min(); // unreachable from then on
        TimePoint unreachableUntil_ = TimePoint::min();
        TimePoint noWorkAfter_ = TimePoint::max(); // set when it leaves
        bool draining_ = false;
        std::size_t reportedLoad_ = 0;
        std::size_t maxRunning_ = 1;
        std::size_t loadsInFlight_ = 0;
        std::size_t inFlight_ = 0; // own requests now
        std::size_t inFlightAtReport_ = 0; // own requests when the last heartbeat came
        std::shared_ptr<const AdapterSet> resident_ = std::make_shared<AdapterSet>();
    };

    [[nodiscard]] TargetState stateOf(const Target &target, TimePoint now) const;
    [[nodiscard]] TargetView viewOf(const Target &target, TimePoint now) const;
    static void assume(Target &target, const AdapterId &adapter);

    const Clock &clock_;
    mutable std::mutex mutex_;
    std::map<std::string, Target> targets_;
};

} // namespace foxtailturn
