#pragma once

// A target of the entry and what the entry knows about it: its record in the store, its engine's
// report, the entry's own requests in flight and the results of its attempts.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/codec.h"
#include "gateway/target_backoff.h"
#include "placement/cold_state.h"

namespace foxtailturn::gateway {

// Returns the name of an adapter on a target: MODEL/ADAPTER, or MODEL for the base model.
[[nodiscard]] std::string adapterName(const std::string &model, const std::string &adapter);

// Returns the models and adapters that were loaded, unloaded or got a new version between two
// reports, and those of loads that have begun or ended.
[[nodiscard]] std::set<std::string> changedNames(const EngineReport &before,
                                                 const EngineReport &after);

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
    bool isEvacuated_ = false; // its data centre is, see placement/evacuations.h

    EngineReport report_;
    TimePoint reportedAt_{}; // zero: no report yet
    bool isAgentConnected_ = false; // its sidecar is connected and accepts load requests
    placement::TargetSpeed speed_;
    double evictionCost_ = 0; // expected uses of the adapter that the next load would evict

    int inFlight_ = 0; // requests of this entry
    std::int64_t pendingPrompt_ =
        0; // uncached prompt tokens of this entry's requests without a first event
    int pendingCount_ = 0; // this entry's requests without a first event
    std::map<std::string, RequestedLoad> requestedLoads_; // by adapter name

    int consecutiveFailures_ = 0;
    TimePoint suspectUntil_{};
    TargetBackoff backoff_; // after rejections
    placement::ColdState cold_; // of a service that bounds the requests to cold targets

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

// Orders targets by instance. An instance names one target for as long as that exists.
struct ByInstance
{
    bool operator()(const Target *a, const Target *b) const
    {
        return a->record_.instance_ < b->record_.instance_;
    }
};

using TargetSet = std::set<Target *, ByInstance>;

} // namespace foxtailturn::gateway
