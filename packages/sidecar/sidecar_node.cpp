#include "sidecar/sidecar_node.h"

#include <algorithm>
#include <utility>

#include "gateway/target_registry.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kReportTimeout = milliseconds(500); // the engine is on the same VM
// An order is answered within a few milliseconds or not at all. It can be sent again, since the
// engine rejects the duplicate by the number of accepted orders that it carries.
constexpr Duration kOrderTimeout = milliseconds(120);
constexpr Duration kPollInterval = milliseconds(120);
constexpr Duration kLoadingPollInterval =
    milliseconds(20); // while a load is pending or in progress
constexpr Duration kUnreachablePollInterval = milliseconds(40); // to see the engine's return soon
// Permit requests that arrive within this time are decided together, the most urgent first.
constexpr Duration kPermitDelay = milliseconds(4);
constexpr std::size_t kMaxPermitRequests = 10'000; // decided together
constexpr Duration kUnconnectedPollInterval = milliseconds(400); // while no entry is connected
// Load requests that arrive within this time are reported to the entries together.
constexpr Duration kLoadRequestDelay = milliseconds(5);
// An accepted load that has not finished by then is no longer measured.
constexpr Duration kMaxMeasuredLoadTime = milliseconds(30'000);
constexpr Duration kLogFlushInterval = milliseconds(1000);

std::int64_t wallMillis(const WallClock &clock)
{
    return std::chrono::duration_cast<milliseconds>(clock.now().time_since_epoch()).count();
}

OrderOutcome orderOutcome(int status)
{
    switch (status) {
    case 200:
    case 202:
        return OrderOutcome::Accepted;
    case 412:
        return OrderOutcome::StaleToken;
    case 421:
        return OrderOutcome::OtherInstance;
    case 0:
        return OrderOutcome::Unknown;
    default:
        return OrderOutcome::Rejected;
    }
}

} // namespace

SidecarNode::SidecarNode(asio::io_context &context, const PlatformCodec &codec,
                         const NodeSettings &settings)
    : codec_(codec)
    , settings_(settings)
    , log_(settings.name_, wallClock_, writeStandardOutput)
    , caller_(context, codec, clock_)
    , admin_(context)
    , entries_(context)
    , pollTimer_(context)
    , adapterManager_(settings.name_, wallMillis(wallClock_))
    , suspects_(wallClock_)
    , schedule_(kPollInterval)
    , publishTimer_(context)
    , allowance_(clock_.now())
    , permitTimer_(context)
{
    entries_.limitPeers(
        memory::maxPeerConnections(static_cast<std::size_t>(settings.maxDescriptors_)));
    entries_.onLines(
        [this](int entry, const std::vector<std::string> &lines) { onEntryLines(entry, lines); });
    entries_.onConnected([this](int entry) { onEntryConnected(entry); });
    entries_.onDisconnected([this](int entry) {
        adapterManager_.removeEntry(entry, clock_.now());
        suspectOffers_.remove(entry);
        std::erase_if(permitRequests_, [entry](const placement::PendingPermit &pending) {
            return pending.source_ == entry;
        });
    });
}

Result<void> SidecarNode::start()
{
    const std::string address = settings_.ip_ + ":" + std::to_string(settings_.peerPort_);
    if (Result<void> listening = entries_.listen(address); !listening)
        return listening;
    admin_.serve("/state", [this] {
        const nlohmann::json state = {
            {"name", settings_.name_},
            {"engine", engineState_},
            {"entries", entries_.peers()},
            {"engine_up_ms", upMillis()},
            {"cold_permits", allowance_.recentGrants(clock_.now())},
            {"report", nlohmann::json::parse(encode(reportForEntries(clock_.now())))}};
        return AdminAnswer{200, state.dump(2) + "\n", "application/json"};
    });
    admin_.serve("/metrics", [this] { return AdminAnswer{200, metrics_.text()}; });
    if (settings_.metricsPort_ != 0) {
        const std::string admin = settings_.ip_ + ":" + std::to_string(settings_.metricsPort_);
        if (Result<void> listening = admin_.listen(admin); !listening)
            return listening;
    }
    log_.write(LogDetail::Full, "started",
               {{"role", "sidecar"}, {"engine", settings_.engineAddress_}});
    poll();
    return {};
}

void SidecarNode::stop(const std::function<void()> &onStopped)
{
    log_.write(LogDetail::Full, "stopped", nlohmann::json::object());
    log_.flush();
    onStopped();
}

void SidecarNode::onEntryConnected(int entry)
{
    const std::vector<std::uint64_t> digests = suspects_.digests();
    if (!digests.empty())
        suspectOffers_.add(entry, clock_.now());
    entries_.send(entry, encode(SuspectOffer{digests}));
    if (hasReport_)
        entries_.send(entry, encode(schedule_.sent())); // the next update is relative to it
    if (watch_.isKnown())
        entries_.send(entry, encode(watch_.state(clock_.now())));
}

void SidecarNode::sendToSilentEntries()
{
    for (const int entry : suspectOffers_.takeSilent(clock_.now()))
        entries_.send(entry, encode(SuspectNotice{suspects_.records()}));
}

void SidecarNode::onEntryLines(int entry, const std::vector<std::string> &lines)
{
    const TimePoint now = clock_.now();
    bool hasLoadRequest = false;
    for (const std::string &line : lines) {
        const AgentMessage message = decodeAgentMessage(line);
        if (suspectOffers_.receive(entry, message))
            entries_.send(entry, encode(SuspectNotice{suspects_.records()}));
        if (message.use_)
            adapterManager_.onUseNotice(entry, *message.use_, now);
        if (message.load_) {
            adapterManager_.requestLoad(*message.load_, now);
            hasLoadRequest = true;
        }
        if (message.permitRequest_ && permitRequests_.size() < kMaxPermitRequests)
            permitRequests_.push_back({entry, *message.permitRequest_});
        if (message.suspectRequest_) {
            const auto &wanted = message.suspectRequest_->digests_;
            entries_.send(entry, encode(SuspectNotice{suspects_.recordsOf(wanted)}));
        }
        if (message.suspects_) {
            const std::vector<SuspectRecord> changed = suspects_.merge(message.suspects_->records_);
            if (!changed.empty())
                entries_.sendOthers(entry, encode(SuspectNotice{changed}));
        }
    }
    if (!permitRequests_.empty())
        decidePermitsSoon();
    if (hasLoadRequest)
        publishSoon(); // so that other entries do not request the same adapter from another engine
    if (hasLoadRequest && !isCallInFlight_)
        poll();
}

void SidecarNode::decidePermitsSoon()
{
    if (isDecisionPending_)
        return;
    isDecisionPending_ = true;
    permitTimer_.expires_after(kPermitDelay);
    permitTimer_.async_wait([this](const asio::error_code &error) {
        isDecisionPending_ = false;
        if (!error)
            decidePermits();
    });
}

void SidecarNode::decidePermits()
{
    const TimePoint now = clock_.now();
    std::map<int, std::string> answers; // by entry
    for (const auto &[entry, answer] :
         allowance_.decide(std::exchange(permitRequests_, {}), watch_.state(now), now)) {
        answers[entry] += encode(answer);
        metrics_
            .counter("foxtailturn_cold_permits_total", "permits that entries requested",
                     {{"outcome", answer.isGranted_ ? "granted" : "refused"}})
            .add();
    }
    for (const auto &[entry, lines] : answers)
        entries_.send(entry, lines);
}

void SidecarNode::sendEngineState()
{
    entries_.sendAll(encode(watch_.state(clock_.now())));
}

// Returns for how long the engine has run by its own account.
Duration SidecarNode::ageOf(const EngineReport &report) const
{
    return milliseconds(wallMillis(wallClock_) - report.startTimeMs_);
}

std::int64_t SidecarNode::upMillis() const
{
    return std::chrono::duration_cast<milliseconds>(watch_.state(clock_.now()).upFor_).count();
}

void SidecarNode::poll()
{
    sendToSilentEntries();
    if (isCallInFlight_)
        return;
    isCallInFlight_ = true;
    pollTimer_.cancel();
    caller_.call(settings_.engineAddress_, codec_.reportCall(), kReportTimeout,
                 [this](const HttpAnswer &answer) {
                     isCallInFlight_ = false;
                     onReport(answer);
                 });
}

void SidecarNode::onReport(const HttpAnswer &answer)
{
    Result<EngineReport> report = codec_.decodeReport(answer.body_);
    const std::string state = answer.status_ == 200 && report ? "reachable" : "unreachable";
    if (state != engineState_)
        log_.write(LogDetail::Full, "engine_" + state, {{"status", answer.status_}});
    engineState_ = state;
    if (state != "reachable") {
        if (watch_.onFailure(clock_.now()))
            sendEngineState();
        schedulePoll();
        return;
    }
    report->isDraining_ = report->isDraining_ || answer.isLeaving_;
    report_ = *report;
    hasReport_ = true;
    const TimePoint now = clock_.now();
    if (watch_.onReport(report_.startTimeMs_, ageOf(report_), now))
        sendEngineState();
    // An engine may list a request among its runs from its first event on only.
    const int listed = static_cast<int>(report_.runs_.size());
    const int prompts = std::max(report_.prefilling_, report_.running_ - listed);
    speedMeter_.record({report_.startTimeMs_, prompts, report_.runs_}, now);
    report_.runs_.clear();
    updateMetrics();
    adapterManager_.onReport(report_, now);
    if (!isPublishPending_)
        publishIfDue();
    if (now >= nextFlushAt_) {
        log_.flush();
        nextFlushAt_ = now + kLogFlushInterval;
    }
    sendNextOrder();
}

void SidecarNode::updateMetrics()
{
    metrics_.gauge("foxtailturn_engine_running", "requests that the engine runs")
        .set(report_.running_);
    metrics_.gauge("foxtailturn_engine_queued", "requests that wait in the engine")
        .set(report_.queued_);
    metrics_.gauge("foxtailturn_engine_step_microseconds", "decode time per token; 0: unknown")
        .set(speedMeter_.stepTime().count());
    metrics_.gauge("foxtailturn_engine_stalled", "1 while the engine decodes far slower than usual")
        .set(speedMeter_.isStalled(clock_.now()) ? 1 : 0);
    metrics_.gauge("foxtailturn_entries_connected", "entries that listen to this process")
        .set(static_cast<std::int64_t>(entries_.peers()));
    const TimePoint now = clock_.now();
    std::erase_if(loadStartTimes_,
                  [now](const auto &load) { return now - load.second > kMaxMeasuredLoadTime; });
    for (const HostedModel &model : report_.models_) {
        for (const auto &[adapter, version] : model.adapters_) {
            const auto load = loadStartTimes_.find(adapterName(model.name_, adapter));
            if (load == loadStartTimes_.end())
                continue;
            metrics_.latency("foxtailturn_adapter_load_seconds", "from an order to the adapter")
                .record(now - load->second);
            loadStartTimes_.erase(load);
        }
    }
}

void SidecarNode::sendNextOrder()
{
    const TimePoint now = clock_.now();
    const std::optional<EngineOrder> order = adapterManager_.nextOrder(now);
    for (const std::string &name : adapterManager_.takeRefusedLoads(now)) {
        log_.write(LogDetail::Full, "load_refused", {{"adapter", name}});
        entries_.sendAll(encode(LoadRefusal{name}));
    }
    if (!order) {
        schedulePoll();
        return;
    }
    isCallInFlight_ = true;
    const auto onAnswer = [this, order = *order](const HttpAnswer &answer) {
        isCallInFlight_ = false;
        const bool isLoad = order.kind_ == OrderKind::Load;
        metrics_
            .counter("foxtailturn_engine_orders_total", "orders to the engine",
                     {{"operation", isLoad ? "load" : "unload"},
                      {"status", std::to_string(answer.status_)}})
            .add();
        if (isLoad && orderOutcome(answer.status_) == OrderOutcome::Accepted)
            loadStartTimes_[adapterName(order.model_, order.adapter_)] = clock_.now();
        log_.write(LogDetail::Full, "order",
                   {{"operation", isLoad ? "load" : "unload"},
                    {"model", order.model_},
                    {"adapter", order.adapter_},
                    {"token", order.fencingToken_},
                    {"sequence", order.expectedSequence_.value_or(-1)},
                    {"status", answer.status_}});
        onOrderAnswer(answer.status_);
    };
    caller_.call(settings_.engineAddress_, codec_.orderCall(*order), kOrderTimeout, onAnswer);
}

void SidecarNode::onOrderAnswer(int status)
{
    adapterManager_.onOrderOutcome(orderOutcome(status), clock_.now());
    if (orderOutcome(status) == OrderOutcome::Accepted)
        poll();
    else
        schedulePoll();
}

void SidecarNode::schedulePoll()
{
    const Duration wait = adapterManager_.hasPendingLoads() ? kLoadingPollInterval
        : entries_.peers() == 0                             ? kUnconnectedPollInterval
        : watch_.isKnown() && !watch_.isReachable()         ? kUnreachablePollInterval
                                                            : kPollInterval;
    pollTimer_.expires_after(wait);
    pollTimer_.async_wait([this](const asio::error_code &error) {
        if (!error)
            poll();
    });
}

SidecarReport SidecarNode::reportForEntries(TimePoint now) const
{
    SidecarReport report = adapterManager_.reportForEntries(now);
    report.speed_ = {speedMeter_.stepTime(), speedMeter_.isStalled(now)};
    return report;
}

void SidecarNode::publishSoon()
{
    if (isPublishPending_)
        return;
    isPublishPending_ = true;
    publishTimer_.expires_after(kLoadRequestDelay);
    publishTimer_.async_wait([this](const asio::error_code &error) {
        isPublishPending_ = false;
        if (!error)
            publishIfDue();
    });
}

void SidecarNode::publishIfDue()
{
    const TimePoint now = clock_.now();
    const SidecarReport report = reportForEntries(now);
    if (!hasReport_ || !schedule_.isDue(report, entries_.peers(), now))
        return;
    if (entries_.peers() > 0)
        entries_.sendAll(encodeUpdate(schedule_.sent(), report));
    schedule_.recordSent(report, now);
}

} // namespace foxtailturn::gateway
