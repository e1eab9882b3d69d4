#pragma once

// Request admission and routing state of an entry: the configuration in force, known targets,
// quotas, retry budgets and quarantined requests. Caller and target connections are other classes.
//
//     Gateway gateway(context, codec, clock, wallClock, log, metrics, identity);
//     gateway.configure(config);
//     Admission admission = gateway.admit(head, body, receivedAt);
//
// Not thread-safe: belongs to the loop's thread.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "base/event_log.h"
#include "base/metrics.h"
#include "gateway/adapter_versions.h"
#include "gateway/codec.h"
#include "gateway/grant_requester.h"
#include "gateway/outdated_copies.h"
#include "gateway/placement.h"
#include "gateway/relay.h"
#include "gateway/serving_metrics.h"
#include "gateway/shutdown_schedule.h"
#include "gateway/target_connection.h"
#include "gateway/target_registry.h"
#include "gateway/waiting_requests.h"
#include "quota/quota_parts.h"
#include "retry/crash_detector.h"
#include "retry/quarantine.h"
#include "retry/retry_budget.h"

namespace foxtailturn::gateway {

// Name, location and limits of the entry that the gateway runs in.
struct GatewayOptions
{
    std::string name_;
    std::string dataCentre_;
    int retryPercent_ = 15; // retries allowed per 100 requests of a service
    int retryFloor_ = 3; // retries allowed in each window in addition to the percentage
    Duration unlistedGrace_{}; // see TargetTimes
    std::int64_t quotaTolerance_ = 0; // tokens; see QuotaParts
    std::int64_t milliCores_ = 0; // processor share of the VM
};

// Objects that the gateway uses. They must outlive it.
struct GatewayDependencies
{
    asio::io_context &context_;
    const PlatformCodec &codec_;
    const Clock &clock_;
    const WallClock &wallClock_;
    EventLog &log_;
    MetricRegistry &metrics_;
};

class Gateway
{
public:
    // Retry-After of a request that another entry should take.
    static constexpr Duration kShutdownRetry = std::chrono::milliseconds(50);
    // Retry-After of a quarantined request.
    static constexpr Duration kQuarantineRetry = std::chrono::seconds(5);

    using LoadRequestHandler =
        std::function<void(const Target &target, const std::string &model,
                           const std::string &adapter, std::int64_t version)>;
    using AdapterUseHandler =
        std::function<void(const Target &target, const std::string &adapterName, bool isBegin)>;

    Gateway(const GatewayDependencies &parts, const GatewayOptions &identity);

    // Applies a configuration with a higher revision than the current one; ignores any other.
    // Returns whether it was applied.
    bool configure(ServingConfig config);
    [[nodiscard]] const std::shared_ptr<const ServingConfig> &config() const { return config_; }

    // Records a newer version of an adapter, which requestLoads() brings to the targets that hold
    // an older one. The older version is served for a short grace time only. Returns whether it is
    // newer than those known. A version of a model itself, without an adapter, is only logged:
    // nothing here replaces the weights of targets, so to require it would end the model's service.
    bool declareVersion(const AdapterVersion &version);

    // Checks route, key, quarantine and quota of a request. Returns the admitted request, or the
    // answer that refuses it.
    [[nodiscard]] std::variant<AdmittedRequest, Refusal>
    admit(const MessageHead &head, std::string body, TimePoint receivedAt);

    // Refuses from now on what the schedule does not admit.
    void beginShutdown(const ShutdownSchedule &schedule) { shutdown_ = schedule; }

    // Chooses a target for a relay.
    [[nodiscard]] PlacementChoice choose(const std::string &service, PlacementRequest request);

    // Requests the load of an adapter from the target's sidecar. Does nothing if the same load was
    // requested a short time ago.
    void requestLoad(Target &target, const std::string &model, const std::string &adapter);
    void onLoadRefused(const std::string &address, const std::string &adapterName);

    // Sets the handler that requests a charge from the owners of a quota's parts.
    using GrantRequestHandler = std::function<void(
        const std::string &workspace, std::int64_t charge, GrantRequester::GrantHandler handler)>;
    void setGrantRequestHandler(GrantRequestHandler request)
    {
        grantRequestHandler_ = std::move(request);
    }

    // Requests from other entries a charge that this entry's own parts of the quota do not cover.
    void requestGrant(const AdmittedRequest &request, GrantRequester::GrantHandler handler);

    // Set the handlers that send load requests and adapter use to the sidecars.
    void setLoadRequestHandler(LoadRequestHandler request)
    {
        loadRequestHandler_ = std::move(request);
    }
    void setAdapterUseHandler(AdapterUseHandler notice) { adapterUseHandler_ = std::move(notice); }
    void reportAdapterUse(const Target &target, const std::string &adapterName, bool isBegin);

    // Handles a report of the sidecar of the engine at the address, which has arrived at or after
    // arrivedAt.
    void onReport(const std::string &address, const SidecarReport &report, TimePoint arrivedAt);
    void onReport(const std::string &address, const SidecarReport &report)
    {
        onReport(address, report, now());
    }

    // Requests a model load on targets that host none, and loads of newly declared adapter versions
    // on targets that hold an older one.
    void requestLoads();

    // Requests that wait for an adapter load or for a target.
    WaitingRequests &waiting() { return waiting_; }
    static void retryWaiting(const WaitingRequests::Selection &requests);

    // Returns the waiting requests that a record of a target may help. isNews: it changes whether
    // the target gets requests.
    [[nodiscard]] WaitingRequests::Selection waitingForRecord(const TargetRecord &record,
                                                              bool isNews);

    // Records whether the sidecar of the engine at the address is connected.
    void onAgentState(const std::string &address, const std::string &service, bool isConnected);

    // Returns whether a target, whose load of an adapter was requested, may still carry it out.
    [[nodiscard]] bool isLoadUnderWay(const std::string &instance, const std::string &adapterName);

    // Takes one retry from the service's retry budget. Returns whether it was allowed.
    [[nodiscard]] bool tryRetry(const std::string &service);

    // Records that a target has said, in an answer or a report, that it is about to stop. It gets
    // no new requests.
    void recordLeaving(const std::string &instance);

    // Records that a connection was lost while a target ran a request, or that no connection to the
    // target could be opened. A target that has lost a connection is checked by opening another
    // one; if that fails, the target has crashed, and each request that was under way there is
    // recorded as a possible cause.
    void recordConnectionLoss(const std::string &instance, const std::vector<Suspect> &suspects);
    void recordUnreachable(const std::string &instance);

    // Records that a target has run a request to completion, or has begun to answer one with these
    // parts of its prompt.
    void recordSound(const std::vector<Suspect> &suspects);

    // Returns whether the request or a part of its prompt has crashed so many targets that it is
    // not sent any more.
    [[nodiscard]] bool isQuarantined(const std::vector<Suspect> &suspects) const;

    // Sets the handler for quarantine records that have to reach the other entries.
    using SuspectHandler = std::function<void(const std::vector<SuspectRecord> &records)>;
    void setSuspectHandler(SuspectHandler handler) { suspectHandler_ = std::move(handler); }

    // Counts an answer in the request metrics. request is null if none was admitted.
    void countAnswer(const AdmittedRequest *request, int status, std::string_view reason);
    ServingMetrics &serving() { return serving_; }

    // Returns the state as JSON, for operators.
    [[nodiscard]] nlohmann::json state();

    // Returns how many targets and copies of adapters were visited so far. What one message adds
    // must not depend on the number of targets.
    [[nodiscard]] std::uint64_t visits() const
    {
        return targets_.visits() + outdatedCopies_.visits();
    }

    TargetRegistry &targets() { return targets_; }
    ConnectionPool &pool() { return pool_; }
    quota::QuotaParts &quotas() { return quotas_; }
    [[nodiscard]] const quota::QuotaParts &quotas() const { return quotas_; }
    Quarantine &quarantine() { return quarantine_; }
    Placement &placement(const std::string &service) { return placements_[service]; }
    EventLog &log() { return parts_.log_; }
    [[nodiscard]] const PlatformCodec &codec() const { return parts_.codec_; }
    [[nodiscard]] TimePoint now() const { return parts_.clock_.now(); }
    asio::io_context &context() { return parts_.context_; }
    [[nodiscard]] const GatewayOptions &identity() const { return options_; }
    MetricRegistry &metrics() { return parts_.metrics_; }

    // Returns a pseudo-random number from 0 to 1, to spread retry times.
    [[nodiscard]] double jitter();

private:
    [[nodiscard]] Refusal refusal(int status, ErrorCode code, const std::string &requestId,
                                  std::optional<Duration> retryAfter);
    [[nodiscard]] std::optional<Refusal> chargeQuota(AdmittedRequest &request,
                                                     const Workspace &workspace);
    void recordCompletedLoads(Target &target);
    [[nodiscard]] int countCopies(const std::string &service, const std::string &model) const;
    void requestAdapterUpdates(const std::vector<AdapterUpdate> &updates);
    void checkTarget(const std::string &instance, const std::string &address);

    GatewayDependencies parts_;
    GatewayOptions options_;
    std::shared_ptr<const ServingConfig> config_;
    std::optional<ShutdownSchedule> shutdown_;
    TargetRegistry targets_;
    ConnectionPool pool_;
    quota::QuotaParts quotas_;
    RetryBudget budget_;
    Quarantine quarantine_;
    std::map<std::string, Placement> placements_; // by service
    AdapterVersions versions_;
    OutdatedCopies outdatedCopies_;
    WaitingRequests waiting_;
    CrashDetector crashes_;
    LoadRequestHandler loadRequestHandler_;
    AdapterUseHandler adapterUseHandler_;
    SuspectHandler suspectHandler_;
    GrantRequestHandler grantRequestHandler_;
    std::uint64_t randomState_;
    ServingMetrics serving_;
};

} // namespace foxtailturn::gateway
