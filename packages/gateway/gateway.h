#pragma once

// The entry's state and decisions: what is served, which targets there are, who may send how much,
// what may be sent again. Connections to callers and targets are other classes.
//
//     Gateway gateway(context, codec, clock, wallClock, log, metrics, identity);
//     gateway.configure(config);
//     Admission admission = gateway.admit(head, body, receivedAt);
//
// Not thread-safe: belongs to the loop's thread.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>

#include "base/event_log.h"
#include "base/metrics.h"
#include "gateway/codec.h"
#include "gateway/grant_desk.h"
#include "gateway/placement.h"
#include "gateway/quota_shares.h"
#include "gateway/relay.h"
#include "gateway/serving_metrics.h"
#include "gateway/target_book.h"
#include "gateway/target_connection.h"
#include "retry/quarantine.h"
#include "retry/retry_budget.h"

namespace foxtailturn::gateway {

// What the gateway knows of the entry that it runs in.
struct EntryIdentity
{
    std::string name_;
    std::string dataCentre_;
    int retryPercent_ = 15; // attempts beyond the first per 100 requests of a service
    int retryFloor_ = 3; // that are allowed in each window besides
    Duration unlistedUse_{}; // see TargetTimes
    std::int64_t quotaTolerance_ = 0; // tokens; see QuotaShares
};

// Objects that outlive the gateway.
struct GatewayParts
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
    using LoadRequest = std::function<void(const Target &target, const std::string &model,
                                           const std::string &adapter, std::int64_t version)>;
    using UseNotice =
        std::function<void(const Target &target, const std::string &adapterName, bool isBegin)>;

    Gateway(const GatewayParts &parts, const EntryIdentity &identity);

    // Takes a newer configuration; an older or equal one is ignored. Returns whether it was taken.
    bool configure(ServingConfig config);
    [[nodiscard]] const std::shared_ptr<const ServingConfig> &config() const { return config_; }

    // Notes that an adapter has a newer version. Targets that hold an older one are asked to load
    // it and serve the older for a short time only.
    void declareVersion(const AdapterVersion &version);

    // Decides whether a request is served. Otherwise gives the answer.
    [[nodiscard]] std::variant<AdmittedRequest, Refusal>
    admit(const MessageHead &head, std::string body, TimePoint receivedAt);

    // Chooses a target for a relay.
    [[nodiscard]] PlacementChoice choose(const std::string &service,
                                         const PlacementRequest &request);

    // Asks the process beside the target to load an adapter.
    void askLoad(Target &target, const std::string &model, const std::string &adapter);
    void onLoadRefused(const std::string &address, const std::string &adapterName);

    // Hook that asks the keeper of a quota's pool for a charge.
    using GrantRequest = std::function<void(const std::string &workspace, std::int64_t charge,
                                            GrantDesk::GrantHandler handler)>;
    void setGrantRequest(GrantRequest request) { grantRequest_ = std::move(request); }

    // Asks the quota's pool for a charge that the entry's own share does not hold.
    void requestGrant(const AdmittedRequest &request, GrantDesk::GrantHandler handler);

    // Hooks to the processes beside the engines.
    void setLoadRequest(LoadRequest request) { loadRequest_ = std::move(request); }
    void setUseNotice(UseNotice notice) { useNotice_ = std::move(notice); }
    void noteUse(const Target &target, const std::string &adapterName, bool isBegin);

    // A report from beside an engine.
    void onReport(const std::string &address, const SidecarReport &report);

    // Asks the agents of targets that host no model to load one, and for adapters' new versions.
    void tendTargets();

    // Relays that wait for an adapter or a target.
    void addWaiting(const std::shared_ptr<Relay> &relay) { waiting_.insert(relay); }
    void removeWaiting(const std::shared_ptr<Relay> &relay) { waiting_.erase(relay); }
    void retryWaiting();

    // Retry budget, by service.
    [[nodiscard]] bool tryRetry(const std::string &service);

    // Notes that a connection broke while a target worked on a request, or that the target refuses
    // connections. Requests that broke together with others are suspects.
    void noteBreak(const std::string &instance, const std::string &fingerprint);
    void noteUnreachable(const std::string &instance);
    void noteCompleted(const std::string &fingerprint);
    // Calls the handler with each record that others must know.
    void setSuspectReport(std::function<void(const SuspectRecord &)> report)
    {
        suspectReport_ = std::move(report);
    }

    // Counts an answer.
    void countAnswer(const AdmittedRequest *request, int status, std::string_view reason);
    ServingMetrics &serving() { return serving_; }

    // Returns the dump of the state.
    [[nodiscard]] nlohmann::json state();

    TargetBook &book() { return book_; }
    ConnectionPool &pool() { return pool_; }
    QuotaShares &shares() { return shares_; }
    [[nodiscard]] const QuotaShares &shares() const { return shares_; }
    Quarantine &quarantine() { return quarantine_; }
    Placement &placement(const std::string &service) { return placements_[service]; }
    EventLog &log() { return parts_.log_; }
    [[nodiscard]] const PlatformCodec &codec() const { return parts_.codec_; }
    [[nodiscard]] TimePoint now() const { return parts_.clock_.now(); }
    asio::io_context &context() { return parts_.context_; }
    [[nodiscard]] const EntryIdentity &identity() const { return identity_; }
    MetricRegistry &metrics() { return parts_.metrics_; }

    // Returns a number from 0 to 1, to spread retry times.
    [[nodiscard]] double jitter();

private:
    struct Break
    {
        std::string instance_;
        std::string fingerprint_;
        TimePoint at_;
    };

    struct DeclaredVersion
    {
        std::int64_t version_ = 0;
        TimePoint requiredFrom_{};
    };

    [[nodiscard]] Refusal refusal(int status, ErrorCode code, const std::string &requestId,
                                  std::optional<Duration> retryAfter);
    [[nodiscard]] std::optional<Refusal> chargeQuota(AdmittedRequest &request,
                                                     const Workspace &workspace);
    [[nodiscard]] std::int64_t leastVersion(const std::string &name) const;
    void renewAdapters();
    void markCrash(const std::string &instance, TimePoint since);

    GatewayParts parts_;
    EntryIdentity identity_;
    std::shared_ptr<const ServingConfig> config_;
    TargetBook book_;
    ConnectionPool pool_;
    QuotaShares shares_;
    RetryBudget budget_;
    Quarantine quarantine_;
    std::map<std::string, Placement> placements_; // by service
    std::map<std::string, DeclaredVersion> versions_; // by adapter name
    std::set<std::shared_ptr<Relay>> waiting_;
    std::deque<Break> breaks_;
    LoadRequest loadRequest_;
    UseNotice useNotice_;
    std::function<void(const SuspectRecord &)> suspectReport_;
    GrantRequest grantRequest_;
    std::uint64_t randomState_;
    ServingMetrics serving_;
};

} // namespace foxtailturn::gateway
