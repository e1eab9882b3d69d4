#include "daemon/entry_role.h"

#include <thread>
#include <utility>

#include "base/log.h"
#include "entry/filters.h"

namespace foxtailturn {

namespace {

const Logger kLog("entry");

constexpr auto kReconcileInterval = std::chrono::seconds(1);
constexpr auto kLimitsInterval = std::chrono::milliseconds(200);
constexpr auto kWatchdogInterval = std::chrono::milliseconds(100);
constexpr auto kWithdrawalInterval = std::chrono::seconds(2);
constexpr auto kQuarantineInterval = std::chrono::seconds(30);
constexpr auto kPublishTimeout = std::chrono::seconds(2);
constexpr auto kTableTimeout = std::chrono::milliseconds(500);
constexpr auto kLeaveTimeout = std::chrono::seconds(2);
constexpr auto kQuarantineMemory = std::chrono::minutes(30);

EntryServerSettings serverSettings(const Settings &settings)
{
    EntryServerSettings server;
    server.host_ = settings.listen_.host_;
    server.port_ = settings.listen_.port_;
    server.maxConnections_ = static_cast<std::size_t>(settings.maxConnections_);
    server.maxBodyBytes_ = static_cast<std::size_t>(settings.maxBodyBytes_);
    server.memoryBytes_ = settings.memoryBytes();
    return server;
}

} // namespace

EntryRole::EntryRole(const Settings &settings)
    : settings_(settings)
    , node_(settings)
    , limiter_(node_.incarnation(), node_.clock(), node_.lease())
    , ledger_(node_.table())
    , configStore_(node_.table(), node_.objects(), node_.clock())
    , witnesses_(node_.clock(), node_.peers(), node_.witness())
    , reclaimer_(kLeaseMargin, node_.clock(), node_.table(), witnesses_)
    , shares_(node_.incarnation(), node_.clock(), node_.lease(), limiter_, ledger_, reclaimer_,
              node_.peers())
    , fleetLimiter_(node_.clock(), limiter_, shares_)
    , budget_(node_.clock(), RetryBudgetLimits{})
    , retryPolicy_(node_.clock(), budget_)
    , quarantine_(node_.incarnation(), {node_.clock(), node_.wallClock()}, kQuarantineMemory)
    , quarantineRows_(node_.table(), node_.wallClock())
    , guard_(node_.clock(), node_.wallClock(), retryPolicy_, budget_, quarantine_,
             [this](const SuspectRecord &record, TimePoint deadline) {
                 exchangeSuspect(record, deadline);
             })
    , directory_(node_.clock())
    , router_(node_.clock(), directory_, adapterAwarePlacement(PlacementSettings{}))
    , links_(settings.security_)
    , heartbeats_(node_.incarnation(), directory_, links_)
    , forwarder_(node_.clock(), router_, directory_, links_, watchdog_, guard_,
                 settings.dataCentre_,
                 [this](const std::string &target) { return heartbeats_.incarnationOf(target); })
    , server_(serverSettings(settings), node_.clock(), chain_, forwarder_, guard_, metrics_,
              [this] { return node_.config().snapshot(); })
{
    node_.setHooks(nodeHooks());
    buildChain();
}

EntryRole::~EntryRole() = default;

void EntryRole::buildChain()
{
    chain_.add(std::make_unique<RouteFilter>(node_.clock()));
    chain_.add(std::make_unique<KeyFilter>(node_.clock(),
                                           [this] { return node_.config().confirmedUntil(); }));
    chain_.add(std::make_unique<ModelFilter>());
    chain_.add(std::make_unique<IdempotencyFilter>());
    chain_.add(std::make_unique<SuspectFilter>(guard_));
    chain_.add(std::make_unique<LimitFilter>(fleetLimiter_));
}

Result<void> EntryRole::start()
{
    Result<void> started = node_.start();
    if (!started)
        return started;
    startControllers();
    loadQuarantine();
    return server_.start();
}

void EntryRole::startControllers()
{
    ControllerLoop &loop = node_.loop();
    loop.every(kWatchdogInterval, [this] { watchdog_.check(node_.clock().now()); });
    loop.every(kHeartbeatInterval,
               [this] { heartbeats_.tick(node_.membersOf("agent"), node_.revision()); });
    loop.every(kLimitsInterval, [this] { applyLimits(); });
    loop.every(kPollInterval, [this] { shares_.exchange(); });
    loop.every(kReconcileInterval, [this] { shares_.reconcile(); });
    loop.every(kWithdrawalInterval, [this] { storeWithdrawals(); });
    loop.every(kQuarantineInterval, [this] { loadQuarantine(); });
}

void EntryRole::applyLimits()
{
    const std::shared_ptr<const Configuration> configuration = node_.config().snapshot();
    if (!configuration || configuration->revision() == limitsRevision_)
        return;
    std::vector<std::string> workspaces;
    for (const Workspace &workspace : configuration->content().workspaces_) {
        limiter_.setLimit(workspace.id_, {workspace.rate_, workspace.burst_});
        workspaces.push_back(workspace.id_);
    }
    shares_.setWorkspaces(std::move(workspaces));
    limitsRevision_ = configuration->revision();
}

// Withdrawals taken while the store was down live in memory only until a revision holds them.
void EntryRole::storeWithdrawals()
{
    const std::set<std::string> pending = node_.config().pendingWithdrawals();
    if (pending.empty())
        return;
    const PublishResult stored =
        configStore_.withdrawKeys(pending, node_.clock().now() + kPublishTimeout);
    if (stored && stored->isChanged_)
        kLog.info(concat("withdrawals are stored, revision=", stored->revision_));
}

void EntryRole::loadQuarantine()
{
    (void)quarantine_.records(); // forgets those whose time has passed
    const auto records = quarantineRows_.load(node_.clock().now() + kTableTimeout);
    if (!records)
        return;
    for (const SuspectRecord &record : *records)
        (void)quarantine_.merge(record);
}

void EntryRole::exchangeSuspect(const SuspectRecord &record, TimePoint deadline)
{
    node_.announcer().announceSuspect(record.toJson(), deadline);
    if (record.standing() == Standing::Quarantined)
        node_.loop().post([this, record] {
            (void)quarantineRows_.store(record, node_.clock().now() + kTableTimeout);
        });
}

std::string EntryRole::mergeSuspect(const std::string &text)
{
    const Result<SuspectRecord> record = SuspectRecord::ofJson(text);
    return record ? quarantine_.merge(*record).toJson() : text;
}

bool EntryRole::isReady() const
{
    const bool isServing = !draining_ && !node_.isFenced() && node_.isListed();
    return isServing && limitsRevision_ != 0 && shares_.isKnownToPeers();
}

NodeHooks EntryRole::nodeHooks()
{
    NodeHooks hooks;
    hooks.limiter_ = &limiter_;
    hooks.onShareArrived_ = [this] { shares_.shareArrived(); };
    hooks.onSuspect_ = [this](const std::string &record) { return mergeSuspect(record); };
    hooks.isReady_ = [this] { return isReady(); };
    hooks.addState_ = [this](Json &state) { addState(state); };
    hooks.metrics_ = [this] { return metrics_.text(); };
    hooks.drain_ = [this] { draining_ = true; };
    return hooks;
}

void EntryRole::addState(Json &state)
{
    const EntryCounts counts = server_.counts();
    state["requests"] = {{"total", counts.requests_},
                         {"refused", counts.refused_},
                         {"failed", counts.failed_},
                         {"open", counts.open_}};
    Json shares = Json::array();
    for (const ShareState &share : limiter_.state())
        shares.push_back({{"workspace", share.workspace_},
                          {"joined", share.joined_},
                          {"units", share.units_},
                          {"units_in_flight", share.unitsInFlight_},
                          {"level_micro_tokens", share.level_},
                          {"demand_tokens_per_second", share.demand_}});
    state["shares"] = shares;
    Json targets = Json::array();
    for (const TargetView &target : directory_.all())
        targets.push_back({{"name", target.info_.name_},
                           {"group", target.info_.group_},
                           {"live", target.state_ == TargetState::Live},
                           {"load", target.load_},
                           {"resident", target.resident_->size()}});
    state["targets"] = targets;
}

void EntryRole::stop()
{
    draining_ = true;
    // The balancer needs time to see that this entry is not ready; until then it still sends work.
    std::this_thread::sleep_for(std::chrono::milliseconds(settings_.drainGraceMs_));
    server_.drain();
    server_.stop(node_.clock().now() + std::chrono::milliseconds(settings_.stopTimeoutMs_));
    shares_.leave(node_.clock().now() + kLeaveTimeout);
    node_.stop();
    heartbeats_.finish();
}

} // namespace foxtailturn
