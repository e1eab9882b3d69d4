#include "gateway/entry_node.h"

#include <algorithm>
#include <set>
#include <utility>

#include "net/event_loop.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kTickInterval = milliseconds(250);
constexpr Duration kOperatorTablePause = milliseconds(100);
// An entry that finds no owner for a quota still reports ready after this time, since it can serve
// the other workspaces.
constexpr Duration kMaxWaitForOwners = std::chrono::seconds(4);
constexpr Duration kPruneInterval = std::chrono::seconds(10); // of expired suspects
constexpr Duration kShutdownPollInterval = milliseconds(100);

GatewayDependencies gatewayParts(asio::io_context &context, const PlatformCodec &codec,
                                 const Clock &clock, const WallClock &wallClock, EventLog &log,
                                 MetricRegistry &metrics)
{
    return {context, codec, clock, wallClock, log, metrics};
}

} // namespace

EntryNode::EntryNode(asio::io_context &context, const PlatformCodec &codec,
                     const NodeSettings &settings)
    : context_(context)
    , codec_(codec)
    , settings_(settings)
    , log_(settings.name_, wallClock_, writeStandardOutput)
    , meter_(clock_, metrics_)
    , store_(context, codec, clock_, metrics_, settings.storeAddress_)
    , gateway_(gatewayParts(context, codec, clock_, wallClock_, log_, metrics_),
               {.name_ = settings.name_ + "@" + settings.ip_,
                .dataCentre_ = settings.dataCentre_,
                .retryPercent_ = settings.retryPercent_,
                .unlistedGrace_ = targetTimesFor(settings.drainNotice_).unlistedGrace_,
                .quotaTolerance_ = settings.quotaTolerance_,
                .milliCores_ = settings.milliCores_,
                .evacuationNotice_ = settings.evacuationNotice_,
                .memoryMb_ = settings.memoryMb_})
    , callerService_(gateway_)
    , callers_(callerService_, meter_)
    , admin_(context)
    , deferredWork_(clock_, &meter_)
    , versionRows_(
          deferredWork_, clock_, [this](const StoreRow &row) { onVersionRow(row); },
          [this] { onVersionsRead(); })
    , operatorWatch_(store_, log_,
                     {.table_ = codec.operatorTable(),
                      .longPollTimeout_ = longPollTimeoutFor(settings.storeSilenceLimit_),
                      .pause_ = kOperatorTablePause},
                     [this](std::vector<StoreRow> rows, TableContent content) {
                         const LoopMeter::Scope scope(&meter_, WorkKind::Records);
                         onOperatorRows(std::move(rows), content);
                     })
    , targetWatch_(
          store_, log_,
          {.table_ = codec.targetTable(), .pause_ = targetTimesFor(settings.drainNotice_).pause_},
          [this](const std::vector<StoreRow> &rows, TableContent content) {
              const LoopMeter::Scope scope(&meter_, WorkKind::Records);
              onTargetRows(rows, content);
          })
    , sidecarReports_(deferredWork_, clock_, reportHandlers())
    , ledgerSync_(store_, log_, gateway_.quotas(), gateway_.quarantine(), wallClock_,
                  [this] { return gateway_.jitter(); })
    , quotaPeers_(context, clock_, log_, gateway_.quotas(), settings.peerPort_)
    , suspects_(gateway_.quarantine(), log_,
                {.send_ =
                     [this](const std::string &engine, const std::string &lines) {
                         const auto link = sidecarLinks_.find(engine);
                         if (link != sidecarLinks_.end())
                             link->second->send(lines);
                     },
                 .store_ = [this](const SuspectRecord &record) { ledgerSync_.report(record); },
                 .isStored_ =
                     [this](const std::string &fingerprint) {
                         return ledgerSync_.isStored(fingerprint);
                     }})
    , tickTimer_(context)
    , stopTimer_(context)
{
    const auto descriptors = static_cast<std::size_t>(settings.maxDescriptors_);
    callers_.limitConnections(memory::maxCallerConnections(descriptors));
    quotaPeers_.limitPeers(memory::maxPeerConnections(descriptors));
    gateway_.pool().setMeter(meter_, WorkKind::Targets);
    store_.setMeter(meter_);
    quotaPeers_.setMeter(meter_);
    gateway_.setLoadRequestHandler([this](const Target &target, const std::string &model,
                                          const std::string &adapter, std::int64_t version) {
        const auto link = sidecarLinks_.find(target.record_.address_);
        const auto &config = gateway_.config();
        if (link == sidecarLinks_.end() || !config)
            return;
        const auto service = config->services_.find(target.record_.service_);
        const int slots = service != config->services_.end() && service->second.engine_
            ? service->second.engine_->adapterSlots_
            : 0;
        link->second->send(encode(
            LoadRequest{adapterName(model, adapter), version, target.record_.instance_, slots}));
    });
    gateway_.setAdapterUseHandler(
        [this](const Target &target, const std::string &name, bool isBegin) {
            const auto link = sidecarLinks_.find(target.record_.address_);
            if (link != sidecarLinks_.end())
                link->second->send(encode(UseNotice{name, isBegin}));
        });
    gateway_.permits().setSender([this](const std::string &engine, const PermitRequest &request) {
        const auto link = sidecarLinks_.find(engine);
        if (link != sidecarLinks_.end())
            link->second->send(encode(request));
    });
    gateway_.setGrantRequestHandler([this](const std::string &workspace, std::int64_t charge,
                                           const GrantRequester::GrantHandler &handler) {
        quotaPeers_.requestGrant(workspace, charge, handler);
    });
    gateway_.setSuspectHandler(
        [this](const std::vector<SuspectRecord> &records) { suspects_.publish(records); });
    ledgerSync_.onRead([this] { quotaPeers_.updateConnections(); });
    quotaPeers_.onOwnerLost([this] { ledgerSync_.expedite(); });
}

Result<void> EntryNode::start()
{
    admin_.serve(codec_.readyTarget(), [this] {
        return isReady() ? AdminAnswer{200, "ready\n"} : AdminAnswer{503, "not ready\n"};
    });
    admin_.serve("/metrics", [this] { return AdminAnswer{200, metrics_.text()}; });
    admin_.serve("/state", [this] {
        nlohmann::json state = gateway_.state();
        state["store_era"] = store_.era();
        return AdminAnswer{200, state.dump(2) + "\n", "application/json"};
    });
    if (!settings_.readyAddress_.empty()) {
        if (Result<void> listening = admin_.listen(settings_.readyAddress_); !listening)
            return listening;
    }
    if (settings_.metricsPort_ != 0) {
        const std::string address = settings_.ip_ + ":" + std::to_string(settings_.metricsPort_);
        if (Result<void> listening = admin_.listen(address); !listening)
            return listening;
    }
    if (Result<void> listening = quotaPeers_.listen(settings_.ip_); !listening)
        return listening;
    if (Result<void> listening = callers_.listen(settings_.callerAddress_); !listening)
        return listening;
    log_.write(LogDetail::Full, "started", {{"role", "entry"}});
    operatorWatch_.start();
    targetWatch_.start();
    ledgerSync_.start();
    tick();
    return {};
}

void EntryNode::run()
{
    runLoop(context_, deferredWork_, meter_);
}

void EntryNode::reload(const NodeSettings &settings)
{
    settings_.storeAddress_ = settings.storeAddress_;
    store_.setAddress(settings.storeAddress_);
    log_.write(LogDetail::Full, "reloaded", {{"store", settings.storeAddress_}});
}

bool EntryNode::isReady() const
{
    if (isStopping_ || !gateway_.config() || !targetWatch_.isLoaded() || !hasReadVersions_)
        return false;
    return gateway_.quotas().canSpend() || clock_.now() > awaitsOwnersUntil_;
}

void EntryNode::onEvacuationRows(const std::vector<StoreRow> &rows, TableContent content)
{
    placement::Evacuations::Rows evacuations;
    for (const StoreRow &row : rows) {
        if (const std::optional<std::string> dataCentre = codec_.evacuatedDataCentre(row))
            evacuations.push_back({*dataCentre, {store_.era(), row.version_}, row.isRemoved_});
    }
    placement::Evacuations &known = gateway_.evacuations();
    const TimePoint now = clock_.now();
    if (content == TableContent::Copy)
        gateway_.onEvacuations(known.applyCopy(evacuations, now));
    else if (content == TableContent::Snapshot)
        gateway_.onEvacuations(known.applySnapshot(evacuations, {store_.era(), 0}, now));
    else
        gateway_.onEvacuations(known.applyChanges(
            evacuations,
            operatorWatch_.isFresh() ? placement::RowAge::Fresh : placement::RowAge::Unknown, now));
}

void EntryNode::onOperatorRows(std::vector<StoreRow> rows, TableContent content)
{
    onEvacuationRows(rows, content); // before a configuration that lets requests in
    bool isChanged = false;
    for (const StoreRow &row : rows) {
        std::optional<ServingConfig> config = codec_.decodeConfig(row);
        if (!config)
            continue;
        config->storeEra_ = store_.era();
        isChanged = gateway_.configure(std::move(*config)) || isChanged;
    }
    versionRows_.add(std::move(rows));
    if (!isChanged)
        return;
    // Which quotas there are is known only now, however long the read of a large table took.
    if (awaitsOwnersUntil_ == TimePoint::max())
        awaitsOwnersUntil_ = clock_.now() + kMaxWaitForOwners;
    updateSidecarLinks();
    if (!gateway_.quotas().canSpend())
        ledgerSync_.syncNow();
}

void EntryNode::onVersionRow(const StoreRow &row)
{
    if (const std::optional<AdapterVersion> version = codec_.decodeAdapterVersion(row))
        hasNewVersion_ = gateway_.declareVersion(*version) || hasNewVersion_;
}

void EntryNode::onVersionsRead()
{
    hasReadVersions_ = true;
    if (std::exchange(hasNewVersion_, false))
        gateway_.requestLoads();
}

void EntryNode::onTargetRows(const std::vector<StoreRow> &rows, TableContent content)
{
    const TimePoint now = clock_.now();
    const bool isCopy = content == TableContent::Copy;
    std::vector<std::string> listedInstances;
    WaitingRequests::Selection helped;
    for (const StoreRow &row : rows) {
        if (row.isRemoved_) {
            gateway_.targets().markUnlisted(row.key_, now);
            log_.write(LogDetail::Full, "target_gone", {{"target", row.key_}});
            continue;
        }
        const std::optional<TargetRecord> record = codec_.decodeTarget(row);
        if (!record) {
            if (log_.admits(LogDetail::Sampled, "foreign_target_row"))
                log_.write(LogDetail::Sampled, "foreign_target_row", {{"key", row.key_}});
            continue;
        }
        listedInstances.push_back(record->instance_);
        const bool isNews = isCopy ? gateway_.targets().listCopy(*record, now)
                                   : gateway_.targets().list(*record, now);
        helped.merge(gateway_.waitingForRecord(*record, isNews));
        if (isNews)
            log_.write(LogDetail::Full,
                       record->phase_ == TargetPhase::Draining ? "target_draining" : "target_seen",
                       {{"target", record->instance_},
                        {"service", record->service_},
                        {"address", record->address_},
                        {"row_version", row.version_}});
    }
    if (isCopy)
        gateway_.targets().retainOnlyCopy(listedInstances, now);
    else if (content == TableContent::Snapshot)
        gateway_.targets().retainOnly(listedInstances, now);
    updateSidecarLinks();
    Gateway::retryWaiting(helped);
}

std::string EntryNode::sidecarAddress(const std::string &engine) const
{
    return engine.substr(0, engine.rfind(':')) + ":" + std::to_string(settings_.peerPort_);
}

void EntryNode::updateSidecarLinks()
{
    const auto &config = gateway_.config();
    if (!config)
        return;
    std::set<std::string> engines = gateway_.targets().takeChangedAddresses();
    if (std::exchange(linksRevision_, config->revision_) != config->revision_) {
        // The configuration tells which services are engines.
        for (const Target *target : gateway_.targets().all())
            engines.insert(target->record_.address_);
    }
    for (const std::string &engine : engines)
        updateSidecarLink(engine);
}

void EntryNode::updateSidecarLink(const std::string &engine)
{
    const auto isListedEngine = [this](const Target *target) {
        const auto &services = gateway_.config()->services_;
        const auto service = services.find(target->record_.service_);
        return service != services.end() && service->second.engine_.has_value()
            && target->usableUntil_ == TimePoint::max();
    };
    const TargetSet &targets = gateway_.targets().atAddress(engine);
    const auto listed = std::find_if(targets.begin(), targets.end(), isListedEngine);
    if (listed != targets.end()) {
        ensureSidecarLink(**listed);
        return;
    }
    const auto link = sidecarLinks_.find(engine);
    if (link == sidecarLinks_.end())
        return;
    link->second->stop();
    suspects_.setConnected(engine, false);
    sidecarReports_.erase(engine);
    sidecarLinks_.erase(link);
}

void EntryNode::ensureSidecarLink(const Target &target)
{
    const std::string &engine = target.record_.address_;
    const auto existing = sidecarLinks_.find(engine);
    if (existing != sidecarLinks_.end()) {
        gateway_.targets().setAgentConnected(engine, existing->second->isConnected());
        return;
    }
    AgentLink::Handlers handlers;
    handlers.onState_ = [this, engine, service = target.record_.service_](bool isLinked) {
        sidecarReports_.erase(engine); // a new connection starts with a full report
        suspects_.setConnected(engine, isLinked);
        log_.write(LogDetail::Full, isLinked ? "sidecar_regained" : "sidecar_lost",
                   {{"engine", engine}});
        gateway_.onAgentState(engine, service, isLinked);
    };
    handlers.onLines_ = [this, engine](std::vector<std::string> lines) {
        const LoopMeter::Scope scope(&meter_, WorkKind::Reports);
        handleUrgentLines(engine, lines);
        const auto link = sidecarLinks_.find(engine);
        if (lines.empty() && link != sidecarLinks_.end())
            link->second->resume();
        else
            sidecarReports_.add(engine, std::move(lines), meter_.readySince());
    };
    const auto link =
        std::make_shared<AgentLink>(context_, sidecarAddress(engine), std::move(handlers));
    sidecarLinks_[engine] = link;
    link->start();
}

ReportQueue::Handlers EntryNode::reportHandlers()
{
    const auto linkOf = [this](const std::string &engine) {
        const auto link = sidecarLinks_.find(engine);
        return link == sidecarLinks_.end() ? nullptr : link->second;
    };
    return {
        .onReport_ =
            [this](const std::string &engine, const SidecarReport &report, TimePoint arrivedAt) {
                suspects_.onReport(engine);
                gateway_.onReport(engine, report, arrivedAt);
            },
        .onMessage_ = [this](const std::string &engine,
                             const AgentMessage &message) { onSidecarMessage(engine, message); },
        .onHandled_ =
            [this, linkOf](const std::string &engine, Duration wait) {
                meter_.recordWait(WorkKind::Reports, wait);
                if (const auto link = linkOf(engine))
                    link->resume();
            },
        .onUnreadable_ =
            [this, linkOf](const std::string &engine) {
                log_.write(LogDetail::Full, "report_unreadable", {{"engine", engine}});
                if (const auto link = linkOf(engine))
                    link->reconnect();
            }};
}

// Handles answers that callers wait for, and news of the engine's run, before the reports that
// wait, and removes their lines.
void EntryNode::handleUrgentLines(const std::string &engine, std::vector<std::string> &lines)
{
    std::erase_if(lines, [this, &engine](const std::string &line) {
        if (!isUrgent(line))
            return false;
        const AgentMessage message = decodeAgentMessage(line);
        if (message.permitAnswer_)
            gateway_.permits().onAnswer(*message.permitAnswer_);
        if (message.engineState_)
            gateway_.onEngineState(engine, *message.engineState_);
        return message.permitAnswer_ || message.engineState_;
    });
}

void EntryNode::onSidecarMessage(const std::string &engine, const AgentMessage &message)
{
    suspects_.receive(engine, message);
    if (message.refusal_)
        gateway_.onLoadRefused(engine, message.refusal_->name_);
}

void EntryNode::tick()
{
    const LoopMeter::Scope scope(&meter_, WorkKind::Upkeep);
    gateway_.pool().closeExpired();
    gateway_.targets().removeStale(clock_.now());
    if (gateway_.targets().confirmCopies(clock_.now())) {
        updateSidecarLinks();
        Gateway::retryWaiting(WaitingRequests::Selection(gateway_.waiting().all()));
    }
    if (clock_.now() - suspectsPrunedAt_ >= kPruneInterval) {
        suspects_.removeExpired();
        suspectsPrunedAt_ = clock_.now();
    }
    gateway_.onEvacuations(gateway_.evacuations().confirmCopy(clock_.now()));
    gateway_.requestLoads();
    gateway_.reviewCold();
    writeMetrics();
    writeLog();
    const TimePoint expectedAt = clock_.now() + kTickInterval;
    tickTimer_.expires_after(kTickInterval);
    tickTimer_.async_wait([this, expectedAt](const asio::error_code &error) {
        if (error)
            return;
        metrics_.latency("foxtailturn_loop_lag_seconds", "lateness of the event loop")
            .record(clock_.now() - expectedAt);
        tick();
    });
}

void EntryNode::writeMetrics()
{
    metrics_.gauge("foxtailturn_caller_connections", "open connections of callers")
        .set(static_cast<std::int64_t>(callers_.connections()));
    metrics_.gauge("foxtailturn_log_lines_dropped", "log lines dropped for a slow reader")
        .set(static_cast<std::int64_t>(log_.dropped()));
    for (const memory::MemoryKind kind : memory::kMemoryKinds)
        metrics_
            .gauge("foxtailturn_held_bytes", "bytes held for callers and targets",
                   {{"kind", std::string(memory::memoryKindName(kind))}})
            .set(static_cast<std::int64_t>(gateway_.memory().held(kind)));
    gateway_.serving().connections(gateway_.pool().opened(), gateway_.pool().reused());
    const Duration age = clock_.now() - operatorWatch_.lastConfirmedAt();
    metrics_
        .gauge("foxtailturn_configuration_age_milliseconds",
               "time since the store last confirmed the configuration")
        .set(std::chrono::duration_cast<milliseconds>(age).count());
}

void EntryNode::writeLog()
{
    const LoopMeter::Scope scope(&meter_, WorkKind::Log);
    if (const std::optional<LoopBehind> behind = meter_.takeBehind())
        log_.write(LogDetail::Full, "loop_behind",
                   {{"lag_us", behind->lag_.count()},
                    {"work", workKindName(behind->kind_)},
                    {"spent_us", behind->spent_.count()},
                    {"interval_us", behind->interval_.count()}});
    log_.flush();
}

void EntryNode::stop(std::function<void()> onStopped)
{
    if (isStopping_)
        return;
    isStopping_ = true;
    onStopped_ = std::move(onStopped);
    log_.write(LogDetail::Full, "stopping", {{"connections", callers_.connections()}});
    callers_.drain();
    schedule_.emplace(clock_.now(), settings_.stopGrace_);
    gateway_.beginShutdown(*schedule_);
    pollShutdown();
}

void EntryNode::pollShutdown()
{
    const TimePoint now = clock_.now();
    if (now >= schedule_->acceptUntil()) {
        callers_.stopAccepting();
        callers_.closeIdle();
    }
    const bool isDrained = now >= schedule_->acceptUntil() && callers_.connections() == 0;
    if ((isDrained || now >= schedule_->releaseAt()) && releaseDeadline_ == TimePoint{}) {
        // Not earlier: the process grants from the parts that it owns until it ends, and its
        // successor on this VM may start immediately afterwards.
        ledgerSync_.release();
        releaseDeadline_ = now + ShutdownSchedule::kReleaseTime;
    }
    const bool isReleased = releaseDeadline_ != TimePoint{} && now >= releaseDeadline_;
    if (isReleased && (isDrained || hasEndedRequests_)) {
        log_.write(LogDetail::Full, "stopped", {{"connections", callers_.connections()}});
        log_.flush();
        operatorWatch_.stop();
        targetWatch_.stop();
        onStopped_();
        return;
    }
    if (now >= schedule_->cutAt() && !hasEndedRequests_) {
        log_.write(LogDetail::Full, "requests_cut", {{"connections", callers_.connections()}});
        callers_.endRequests(); // the answers leave the process before the next poll
        hasEndedRequests_ = true;
    }
    stopTimer_.expires_after(kShutdownPollInterval);
    stopTimer_.async_wait([this](const asio::error_code &error) {
        if (!error)
            pollShutdown();
    });
}

} // namespace foxtailturn::gateway
