#pragma once

// The entry: takes callers' requests and forwards them to agents.

#include <atomic>
#include <memory>

#include "config/config_store.h"
#include "daemon/node.h"
#include "daemon/request_metrics.h"
#include "daemon/role.h"
#include "entry/entry_server.h"
#include "entry/fleet_limiter.h"
#include "entry/heartbeats.h"
#include "retry/quarantine.h"
#include "retry/quarantine_rows.h"
#include "retry/retry_policy.h"
#include "routing/router.h"

namespace foxtailturn {

// Thread-safe unless said otherwise.
class EntryRole final : public DaemonRole
{
public:
    explicit EntryRole(const Settings &settings);
    ~EntryRole() override;

    Result<void> start() override;
    void stop() override;
    [[nodiscard]] bool isFenced() const override { return node_.isFenced(); }

private:
    [[nodiscard]] NodeHooks nodeHooks();
    [[nodiscard]] bool isReady() const;
    void buildChain();
    void startControllers();
    void applyLimits();
    void loadQuarantine();
    void storeWithdrawals();
    void exchangeSuspect(const SuspectRecord &record, TimePoint deadline);
    [[nodiscard]] std::string mergeSuspect(const std::string &text);
    void addState(Json &state);

    Settings settings_;
    Node node_;
    RequestMetrics metrics_;
    Limiter limiter_;
    ShareLedger ledger_;
    ConfigStore configStore_;
    PeerWitnessClient witnesses_;
    LeaseReclaimer reclaimer_;
    ShareController shares_;
    FleetLimiter fleetLimiter_;
    RetryBudget budget_;
    RetryPolicy retryPolicy_;
    Quarantine quarantine_;
    QuarantineRows quarantineRows_;
    RetryGuard guard_;
    TargetDirectory directory_;
    Router router_;
    AgentLinks links_;
    Heartbeats heartbeats_;
    StreamWatchdog watchdog_;
    Forwarder forwarder_;
    FilterChain chain_;
    EntryServer server_;
    std::atomic<std::uint64_t> limitsRevision_ = 0; // revision whose limits are applied
    std::atomic<bool> draining_ = false;
};

} // namespace foxtailturn
