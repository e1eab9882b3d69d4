#include "sidecar/sidecar_node.h"

#include <algorithm>

#include "gateway/target_book.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kCallTime = milliseconds(500); // the engine is on the same VM
// An order is answered within a few milliseconds or not at all. It can be sent again, since the
// engine rejects the duplicate by the number of accepted orders that it carries.
constexpr Duration kOrderTime = milliseconds(120);
constexpr Duration kCalmPoll = milliseconds(120);
constexpr Duration kActivePoll = milliseconds(20); // while a load is pending or in progress
constexpr Duration kIdlePoll = milliseconds(400); // while no entry is connected
constexpr Duration kPublishEvery = milliseconds(200); // without changes of the adapters
constexpr Duration kLostLoad = milliseconds(30'000); // an unfinished load this old is not measured
constexpr Duration kFlushEvery = milliseconds(1000);

std::int64_t wallMillis(const WallClock &clock)
{
    return std::chrono::duration_cast<milliseconds>(clock.now().time_since_epoch()).count();
}

OrderOutcome outcomeOf(int status)
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
    , keeper_(settings.name_, wallMillis(wallClock_))
{
    entries_.onLines(
        [this](int entry, const std::vector<std::string> &lines) { onEntryLines(entry, lines); });
    entries_.onJoined([this](int entry) {
        if (hasReport_)
            entries_.send(entry, encode(published_)); // the next update is relative to it
    });
    entries_.onLeft([this](int entry) { keeper_.forgetEntry(entry, clock_.now()); });
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
            {"report", nlohmann::json::parse(encode(keeper_.summary(clock_.now())))}};
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

void SidecarNode::onEntryLines(int entry, const std::vector<std::string> &lines)
{
    const TimePoint now = clock_.now();
    bool isWanted = false;
    for (const std::string &line : lines) {
        const AgentMessage message = decodeAgentMessage(line);
        if (message.use_)
            keeper_.use(entry, *message.use_, now);
        if (message.load_) {
            keeper_.want(*message.load_, now);
            isWanted = true;
        }
    }
    if (isWanted && hasReport_)
        publish(); // so that other entries do not request the same adapter from another engine
    if (isWanted && !isCalling_)
        poll();
}

void SidecarNode::poll()
{
    if (isCalling_)
        return;
    isCalling_ = true;
    pollTimer_.cancel();
    caller_.call(settings_.engineAddress_, codec_.reportCall(), kCallTime,
                 [this](const HttpAnswer &answer) {
                     isCalling_ = false;
                     onReport(answer.status_, answer.body_);
                 });
}

void SidecarNode::onReport(int status, const std::string &body)
{
    const Result<EngineReport> report = codec_.decodeReport(body);
    const std::string state = status == 200 && report ? "reachable" : "unreachable";
    if (state != engineState_)
        log_.write(LogDetail::Full, "engine_" + state, {{"status", status}});
    engineState_ = state;
    if (state != "reachable") {
        schedulePoll();
        return;
    }
    const bool isNews = !hasReport_ || report->models_ != report_.models_
        || report->loading_ != report_.loading_ || report->bornMs_ != report_.bornMs_
        || report->isDraining_ != report_.isDraining_;
    report_ = *report;
    hasReport_ = true;
    const TimePoint now = clock_.now();
    countLoads();
    keeper_.onReport(report_, now);
    if (isNews || now >= publishAt_)
        publish();
    if (now >= flushAt_) {
        log_.flush();
        flushAt_ = now + kFlushEvery;
    }
    giveOrder();
}

void SidecarNode::countLoads()
{
    metrics_.gauge("foxtailturn_engine_running", "requests that the engine runs")
        .set(report_.running_);
    metrics_.gauge("foxtailturn_engine_queued", "requests that wait in the engine")
        .set(report_.queued_);
    metrics_.gauge("foxtailturn_entries_connected", "entries that listen to this process")
        .set(static_cast<std::int64_t>(entries_.peers()));
    const TimePoint now = clock_.now();
    std::erase_if(loadsFrom_, [now](const auto &load) { return now - load.second > kLostLoad; });
    for (const HostedModel &model : report_.models_) {
        for (const auto &[adapter, version] : model.adapters_) {
            const auto load = loadsFrom_.find(adapterName(model.name_, adapter));
            if (load == loadsFrom_.end())
                continue;
            metrics_.latency("foxtailturn_adapter_load_seconds", "from an order to the adapter")
                .record(now - load->second);
            loadsFrom_.erase(load);
        }
    }
}

void SidecarNode::giveOrder()
{
    const TimePoint now = clock_.now();
    const std::optional<EngineOrder> order = keeper_.next(now);
    for (const std::string &name : keeper_.takeRefused(now)) {
        log_.write(LogDetail::Full, "load_refused", {{"adapter", name}});
        entries_.sendAll(encode(LoadRefusal{name}));
    }
    if (!order) {
        schedulePoll();
        return;
    }
    isCalling_ = true;
    const auto onAnswer = [this, order = *order](const HttpAnswer &answer) {
        isCalling_ = false;
        const bool isLoad = order.kind_ == OrderKind::Load;
        metrics_
            .counter("foxtailturn_engine_orders_total", "orders to the engine",
                     {{"operation", isLoad ? "load" : "unload"},
                      {"status", std::to_string(answer.status_)}})
            .add();
        if (isLoad && outcomeOf(answer.status_) == OrderOutcome::Accepted)
            loadsFrom_[adapterName(order.model_, order.adapter_)] = clock_.now();
        log_.write(LogDetail::Full, "order",
                   {{"operation", isLoad ? "load" : "unload"},
                    {"model", order.model_},
                    {"adapter", order.adapter_},
                    {"token", order.fencingToken_},
                    {"sequence", order.expectedSequence_.value_or(-1)},
                    {"status", answer.status_}});
        onOrderAnswer(answer.status_);
    };
    caller_.call(settings_.engineAddress_, codec_.orderCall(*order), kOrderTime, onAnswer);
}

void SidecarNode::onOrderAnswer(int status)
{
    keeper_.onAnswer(outcomeOf(status), clock_.now());
    if (outcomeOf(status) == OrderOutcome::Accepted)
        poll();
    else
        schedulePoll();
}

void SidecarNode::schedulePoll()
{
    const Duration wait = keeper_.isActive() ? kActivePoll
        : entries_.peers() == 0              ? kIdlePoll
                                             : kCalmPoll;
    pollTimer_.expires_after(wait);
    pollTimer_.async_wait([this](const asio::error_code &why) {
        if (!why)
            poll();
    });
}

void SidecarNode::publish()
{
    publishAt_ = clock_.now() + kPublishEvery;
    const SidecarReport report = keeper_.summary(clock_.now());
    entries_.sendAll(encodeUpdate(published_, report));
    published_ = report;
}

} // namespace foxtailturn::gateway
