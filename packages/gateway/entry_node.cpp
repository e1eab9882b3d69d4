#include "gateway/entry_node.h"

#include <algorithm>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr const char *kSuspectPrefix = "suspect/"; // key of a row of kFleetTable
constexpr Duration kTick = milliseconds(250);
// Rounds of the quota ledger. A calm one is a read; shares follow demand within two rounds.
constexpr Duration kCalmRound = milliseconds(1500);
constexpr Duration kFirstRound = milliseconds(150); // until each workspace has a share
constexpr Duration kConflictRound = milliseconds(10); // another entry wrote in between
constexpr Duration kConflictSpread = milliseconds(8); // for each entry that may write
constexpr int kCacheEntries = 8;
constexpr Duration kFleetRowsUse = std::chrono::seconds(6); // rows kept for writes without a read
constexpr int kEntriesPerRound = 8; // twice as many entries, half as many rounds of each
constexpr Duration kShortRound = milliseconds(700); // while a share is too small
constexpr Duration kStoreTime = milliseconds(1000);
// Records of targets change with each heartbeat; collecting them saves calls. Well within the bound
// for draining targets.
constexpr Duration kTargetPause = milliseconds(500);
constexpr Duration kOperatorPause = milliseconds(100);
// Without units an entry still reports ready after this time: other workspaces can be served.
constexpr Duration kUnitsPatience = std::chrono::seconds(4);
// The balancer asks once a second and needs two misses.
constexpr Duration kBalancerNotice = milliseconds(2700);
constexpr Duration kStopReserve = milliseconds(1000); // before the platform kills the process
constexpr Duration kStopPoll = milliseconds(100);
constexpr int kOk = 200;
constexpr int kConflict = 412;

GatewayParts partsOf(asio::io_context &context, const PlatformCodec &codec, const Clock &clock,
                     const WallClock &wallClock, EventLog &log, MetricRegistry &metrics)
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
    , store_(context, codec, clock_, metrics_, settings.storeAddress_)
    , gateway_(partsOf(context, codec, clock_, wallClock_, log_, metrics_),
               {.name_ = settings.name_ + "@" + settings.ip_,
                .dataCentre_ = settings.dataCentre_,
                .retryPercent_ = settings.retryPercent_,
                .quotaTolerance_ = settings.quotaTolerance_})
    , callers_(gateway_)
    , admin_(context)
    , operatorWatch_(store_, log_, {.table_ = codec.operatorTable(), .pause_ = kOperatorPause},
                     [this](const std::vector<StoreRow> &rows, bool) { onOperatorRows(rows); })
    , targetWatch_(store_, log_, {.table_ = codec.targetTable(), .pause_ = kTargetPause},
                   [this](const std::vector<StoreRow> &rows, bool isSnapshot) {
                       onTargetRows(rows, isSnapshot);
                   })
    , roundTimer_(context)
    , tickTimer_(context)
    , stopTimer_(context)
    , startedAt_(clock_.now())
{
    gateway_.setLoadRequest([this](const Target &target, const std::string &model,
                                   const std::string &adapter, std::int64_t version) {
        const auto link = links_.find(target.record_.address_);
        const auto &config = gateway_.config();
        if (link == links_.end() || !config)
            return;
        const auto service = config->services_.find(target.record_.service_);
        const int slots = service != config->services_.end() && service->second.engine_
            ? service->second.engine_->adapterSlots_
            : 0;
        link->second->send(encode(
            LoadRequest{adapterName(model, adapter), version, target.record_.instance_, slots}));
    });
    gateway_.setUseNotice([this](const Target &target, const std::string &name, bool isBegin) {
        const auto link = links_.find(target.record_.address_);
        if (link != links_.end())
            link->second->send(encode(UseNotice{name, isBegin}));
    });
    gateway_.setRoundRequest([this] { scheduleRound(Duration::zero()); });
    gateway_.setSuspectReport([this](const SuspectRecord &record) {
        suspectReports_.insert_or_assign(record.fingerprint_, record);
        scheduleRound(Duration::zero());
    });
}

Result<void> EntryNode::start()
{
    admin_.serve(codec_.readyTarget(), [this] {
        return isReady() ? AdminAnswer{200, "ready\n"} : AdminAnswer{503, "not ready\n"};
    });
    admin_.serve("/metrics", [this] { return AdminAnswer{200, metrics_.text()}; });
    admin_.serve("/state", [this] {
        return AdminAnswer{200, gateway_.state().dump(2) + "\n", "application/json"};
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
    if (Result<void> listening = callers_.listen(settings_.callerAddress_); !listening)
        return listening;
    log_.write(LogDetail::Full, "started", {{"role", "entry"}});
    operatorWatch_.start();
    targetWatch_.start();
    scheduleRound(milliseconds(50));
    tick();
    return {};
}

void EntryNode::reload(const NodeSettings &settings)
{
    settings_.storeAddress_ = settings.storeAddress_;
    store_.setAddress(settings.storeAddress_);
    log_.write(LogDetail::Full, "reloaded", {{"store", settings.storeAddress_}});
}

bool EntryNode::isReady() const
{
    if (isStopping_ || !gateway_.config() || !targetWatch_.isLoaded())
        return false;
    return gateway_.shares().canSpend() || clock_.now() - startedAt_ > kUnitsPatience;
}

void EntryNode::onOperatorRows(const std::vector<StoreRow> &rows)
{
    bool isChanged = false;
    for (const StoreRow &row : rows) {
        if (std::optional<ServingConfig> config = codec_.decodeConfig(row))
            isChanged = gateway_.configure(std::move(*config)) || isChanged;
        else if (const auto version = codec_.decodeAdapterVersion(row))
            gateway_.declareVersion(*version);
    }
    if (!isChanged)
        return;
    syncLinks();
    if (!gateway_.shares().canSpend())
        scheduleRound(Duration::zero());
}

void EntryNode::onTargetRows(const std::vector<StoreRow> &rows, bool isSnapshot)
{
    const TimePoint now = clock_.now();
    std::vector<std::string> listed;
    for (const StoreRow &row : rows) {
        if (row.isRemoved_) {
            gateway_.book().unlist(row.key_, now);
            log_.write(LogDetail::Full, "target_gone", {{"target", row.key_}});
            continue;
        }
        const std::optional<TargetRecord> record = codec_.decodeTarget(row);
        if (!record) {
            if (log_.admits(LogDetail::Sampled, "foreign_target_row"))
                log_.write(LogDetail::Sampled, "foreign_target_row", {{"key", row.key_}});
            continue;
        }
        listed.push_back(record->instance_);
        if (gateway_.book().list(*record, now))
            log_.write(LogDetail::Full,
                       record->phase_ == TargetPhase::Draining ? "target_draining" : "target_seen",
                       {{"target", record->instance_},
                        {"service", record->service_},
                        {"address", record->address_},
                        {"row_version", row.version_}});
    }
    if (isSnapshot)
        gateway_.book().keepOnly(listed, now);
    syncLinks();
    gateway_.retryWaiting();
}

std::string EntryNode::agentAddress(const std::string &engine) const
{
    return engine.substr(0, engine.rfind(':')) + ":" + std::to_string(settings_.peerPort_);
}

void EntryNode::syncLinks()
{
    const auto &config = gateway_.config();
    if (!config)
        return;
    std::vector<std::string> wanted;
    for (Target *target : gateway_.book().all()) {
        const auto service = config->services_.find(target->record_.service_);
        const bool isEngine =
            service != config->services_.end() && service->second.engine_.has_value();
        if (!isEngine || target->usableUntil_ != TimePoint::max())
            continue;
        wanted.push_back(target->record_.address_);
        linkTarget(*target);
    }
    for (auto it = links_.begin(); it != links_.end();) {
        if (std::find(wanted.begin(), wanted.end(), it->first) != wanted.end()) {
            ++it;
            continue;
        }
        it->second->stop();
        it = links_.erase(it);
    }
}

void EntryNode::linkTarget(const Target &target)
{
    const std::string &engine = target.record_.address_;
    const auto known = links_.find(engine);
    if (known != links_.end()) {
        gateway_.book().setAgentLinked(engine, known->second->isConnected());
        return;
    }
    AgentLink::Handlers handlers;
    handlers.onState_ = [this, engine](bool isLinked) {
        gateway_.book().setAgentLinked(engine, isLinked);
        log_.write(LogDetail::Full, isLinked ? "sidecar_regained" : "sidecar_lost",
                   {{"engine", engine}});
        gateway_.retryWaiting();
    };
    handlers.onMessage_ = [this, engine](const AgentMessage &message) {
        onAgentMessage(engine, message);
    };
    const auto link =
        std::make_shared<AgentLink>(context_, agentAddress(engine), std::move(handlers));
    links_[engine] = link;
    link->start();
}

void EntryNode::onAgentMessage(const std::string &engine, const AgentMessage &message)
{
    if (message.report_)
        gateway_.onReport(engine, *message.report_);
    if (message.refusal_)
        gateway_.onLoadRefused(engine, message.refusal_->name_);
}

Duration EntryNode::nextRound()
{
    if (gateway_.shares().hasGrantRequests())
        return Duration::zero();
    if (!gateway_.shares().canSpend())
        return kFirstRound;
    // The rows grow with the entries and so do conflicts; the whole fleet's work stays in bounds.
    const Duration round = gateway_.shares().wantsRound() ? kShortRound : kCalmRound;
    return round * (kEntriesPerRound + gateway_.shares().entryCount()) / kEntriesPerRound;
}

void EntryNode::scheduleRound(Duration wait)
{
    if (isRoundUnderWay_)
        return;
    // Spread over the entries, so that their writes seldom conflict.
    const auto spread = std::chrono::duration_cast<Duration>(wait * gateway_.jitter() / 3);
    roundTimer_.expires_after(wait + spread);
    roundTimer_.async_wait([this](const asio::error_code &why) {
        if (!why)
            round();
    });
}

void EntryNode::round()
{
    // A grant is tried on the rows as they were last seen; if another entry has written meanwhile,
    // the store's answer brings the new ones. This saves the read in most cases.
    // With many entries the rows have nearly always changed, and conflicts cost more than reads.
    const bool isCacheUseful = clock_.now() - fleetRowsAt_ < kFleetRowsUse
        && gateway_.shares().entryCount() <= kCacheEntries;
    if (gateway_.shares().hasGrantRequests() && isCacheUseful) {
        writeRound();
        return;
    }
    isRoundUnderWay_ = true;
    store_.call(codec_.readCall(kFleetTable, kFleetPart, ""), kStoreTime,
                [this](const StoreAnswer &answer) { onRoundRows(answer); });
}

void EntryNode::onRoundRows(const StoreAnswer &answer)
{
    isRoundUnderWay_ = false;
    const Result<StoreRows> rows = codec_.decodeRows(answer.body_);
    if (answer.status_ != kOk || !rows) {
        gateway_.shares().expireGrants();
        scheduleRound(kCalmRound);
        return;
    }
    fleetRows_ = *rows;
    fleetRowsAt_ = clock_.now();
    takeSuspects(fleetRows_.rows_);
    writeRound();
}

void EntryNode::takeFleetRows(const StoreRows &rows)
{
    for (const StoreRow &row : rows.rows_) {
        const auto known =
            std::find_if(fleetRows_.rows_.begin(), fleetRows_.rows_.end(),
                         [&row](const StoreRow &other) { return other.key_ == row.key_; });
        if (known == fleetRows_.rows_.end())
            fleetRows_.rows_.push_back(row);
        else if (known->version_ < row.version_)
            *known = row;
    }
    if (rows.nowMs_ > 0) {
        fleetRows_.nowMs_ = rows.nowMs_;
        fleetRowsAt_ = clock_.now();
    }
}

void EntryNode::writeRound()
{
    StoreRows rows = fleetRows_;
    rows.nowMs_ += std::chrono::duration_cast<milliseconds>(clock_.now() - fleetRowsAt_).count();
    StoreWrite write = gateway_.shares().plan(rows).value_or(StoreWrite());
    for (const auto &[fingerprint, record] : suspectReports_) {
        const std::string key = kSuspectPrefix + fingerprint;
        write.puts_.push_back({kFleetTable, kFleetPart, key, record.toJson()});
        write.expected_.push_back(
            {kFleetTable, kFleetPart, key, "", suspectVersions_[fingerprint]});
    }
    if (write.puts_.empty()) {
        scheduleRound(nextRound());
        return;
    }
    isRoundUnderWay_ = true;
    store_.call(codec_.writeCall(write), kStoreTime, [this, write](const StoreAnswer &answer) {
        isRoundUnderWay_ = false;
        onRoundWritten(write, answer);
    });
}

void EntryNode::onRoundWritten(const StoreWrite &write, const StoreAnswer &answer)
{
    // Any answer but success and "not answered" promises that nothing was written.
    const WriteOutcome outcome = answer.status_ == kOk ? WriteOutcome::Applied
        : answer.status_ == 0                          ? WriteOutcome::Unknown
                                                       : WriteOutcome::Conflict;
    gateway_.shares().settle(outcome);
    StoreRows rows = codec_.decodeRows(answer.body_).value_or(StoreRows());
    if (outcome == WriteOutcome::Applied) {
        suspectReports_.clear();
        rows.rows_ = write.puts_;
        for (StoreRow &row : rows.rows_)
            row.version_ = rows.version_;
    } else {
        log_.write(LogDetail::Full, "fleet_write_failed", {{"status", answer.status_}});
    }
    takeFleetRows(rows);
    if (answer.status_ != kConflict) {
        scheduleRound(nextRound());
        return;
    }
    takeSuspects(rows.rows_);
    const auto spread = std::chrono::duration_cast<Duration>(
        kConflictSpread * gateway_.shares().entryCount() * gateway_.jitter());
    scheduleRound(kConflictRound + spread);
}

void EntryNode::takeSuspects(const std::vector<StoreRow> &rows)
{
    const std::string_view prefix = kSuspectPrefix;
    for (const StoreRow &row : rows) {
        if (!row.key_.starts_with(prefix))
            continue;
        const std::string fingerprint = row.key_.substr(prefix.size());
        if (suspectVersions_[fingerprint] == row.version_)
            continue;
        suspectVersions_[fingerprint] = row.version_;
        const Result<SuspectRecord> record = SuspectRecord::ofJson(row.value_);
        if (!record || record->fingerprint_ != fingerprint)
            continue;
        const SuspectRecord merged = gateway_.quarantine().merge(*record);
        const auto own = suspectReports_.find(fingerprint);
        if (own != suspectReports_.end())
            own->second.merge(merged);
    }
}

void EntryNode::tick()
{
    gateway_.shares().expireGrants();
    gateway_.pool().dropExpired();
    gateway_.book().sweep(clock_.now());
    gateway_.tendTargets();
    metrics_.gauge("foxtailturn_caller_connections", "open connections of callers")
        .set(static_cast<std::int64_t>(callers_.connections()));
    metrics_.gauge("foxtailturn_log_lines_dropped", "log lines dropped for a slow reader")
        .set(static_cast<std::int64_t>(log_.dropped()));
    log_.flush();
    const TimePoint dueAt = clock_.now() + kTick;
    tickTimer_.expires_after(kTick);
    tickTimer_.async_wait([this, dueAt](const asio::error_code &why) {
        if (why)
            return;
        metrics_.latency("foxtailturn_loop_lag_seconds", "lateness of the event loop")
            .record(clock_.now() - dueAt);
        tick();
    });
}

void EntryNode::stop(std::function<void()> onStopped)
{
    if (isStopping_)
        return;
    isStopping_ = true;
    onStopped_ = std::move(onStopped);
    log_.write(LogDetail::Full, "stopping", {{"connections", callers_.connections()}});
    callers_.drain();
    acceptUntil_ = clock_.now() + std::min(kBalancerNotice, settings_.stopGrace_ / 2);
    stopUntil_ = clock_.now() + std::max(settings_.stopGrace_ - kStopReserve, Duration::zero());
    waitForEnd();
}

void EntryNode::waitForEnd()
{
    const TimePoint now = clock_.now();
    if (now >= acceptUntil_) {
        callers_.stopAccepting();
        callers_.closeIdle();
    }
    const bool isDone = now >= acceptUntil_ && callers_.connections() == 0;
    if (isDone || now >= stopUntil_) {
        log_.write(LogDetail::Full, "stopped", {{"connections", callers_.connections()}});
        log_.flush();
        operatorWatch_.stop();
        targetWatch_.stop();
        onStopped_();
        return;
    }
    stopTimer_.expires_after(kStopPoll);
    stopTimer_.async_wait([this](const asio::error_code &why) {
        if (!why)
            waitForEnd();
    });
}

} // namespace foxtailturn::gateway
