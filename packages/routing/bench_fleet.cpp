#include "routing/bench_fleet.h"

#include <algorithm>
#include <queue>
#include <random>

namespace foxtailturn::bench {

namespace {

constexpr double kLoadSeconds = 0.25;
constexpr double kFullSpeedLoads = 8;
constexpr double kEngineOrderSeconds = 0.005; // duration of an unload or list order
constexpr double kHeartbeatSeconds = 0.5;
constexpr double kLoadFailureProbability = 0.002;
constexpr double kHeartbeatLossProbability = 0.02;
constexpr int kMaxAttempts = 3;

Duration micros(double seconds)
{
    return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

// Runs events in order of time; events at the same time run in the order of insertion.
class EventLoop
{
public:
    void at(double time, std::function<void()> action)
    {
        events_.push(Event{std::max(time, now_), ++last_, std::move(action)});
    }

    void run(double until)
    {
        while (!events_.empty() && events_.top().time_ <= until) {
            Event event = events_.top();
            events_.pop();
            clock_.advance(micros(event.time_) - micros(now_));
            now_ = event.time_;
            event.action_();
        }
    }

    [[nodiscard]] double now() const { return now_; }
    [[nodiscard]] const ManualClock &clock() const { return clock_; }
    [[nodiscard]] TimePoint time() const { return clock_.now(); }

private:
    struct Event
    {
        double time_;
        std::uint64_t order_;
        std::function<void()> action_;

        bool operator<(const Event &other) const
        {
            return std::tie(other.time_, other.order_) < std::tie(time_, order_);
        }
    };

    std::priority_queue<Event> events_;
    ManualClock clock_;
    double now_ = 0;
    std::uint64_t last_ = 0;
};

// Weight store whose bandwidth allows kFullSpeedLoads concurrent loads at full speed; further loads
// share that bandwidth equally.
class WeightStore
{
public:
    explicit WeightStore(EventLoop &loop)
        : loop_(loop)
    { }

    void load(std::function<void()> done)
    {
        progress();
        loads_.emplace(work_ + kLoadSeconds, std::move(done));
        schedule();
    }

private:
    [[nodiscard]] double speed() const
    {
        return std::min(1.0, kFullSpeedLoads / std::max<double>(1, double(loads_.size())));
    }

    void progress()
    {
        work_ += (loop_.now() - updatedAt_) * speed();
        updatedAt_ = loop_.now();
    }

    void schedule()
    {
        ++generation_;
        if (loads_.empty())
            return;
        const double wait = (loads_.begin()->first - work_) / speed();
        loop_.at(loop_.now() + wait, [this, generation = generation_] {
            if (generation == generation_)
                finishFirst();
        });
    }

    void finishFirst()
    {
        progress();
        const std::function<void()> done = std::move(loads_.begin()->second);
        loads_.erase(loads_.begin());
        schedule();
        done();
    }

    EventLoop &loop_;
    std::multimap<double, std::function<void()>> loads_; // by the value of work_ at completion
    double work_ = 0; // cumulative seconds of full-speed loading that each load has received
    double updatedAt_ = 0;
    std::uint64_t generation_ = 0;
};

struct Request
{
    Arrival arrival_;
    int entry_ = 0;
    std::set<std::string> tried_;
    std::optional<Placement> placement_;
    double agentArrival_ = 0;
    double stallEnd_ = 0;
};

struct Engine
{
    std::string name_;
    std::unique_ptr<AgentCore> core_;
    std::set<AdapterId> loaded_;
    std::map<std::string, std::shared_ptr<Request>> requests_; // waiting and running requests by id
    std::map<AdapterId, int> running_;
    std::uint64_t boot_ = 0;
    std::uint64_t sequence_ = 0;
    std::size_t runningCount_ = 0;
    double updatedAt_ = 0;
    double busyPlaceSeconds_ = 0;
    double distinctSeconds_ = 0;
    double busySeconds_ = 0;
    TimePoint wakeAt_ = TimePoint::max();
};

class Fleet
{
public:
    Fleet(const FleetSettings &settings, const TrafficSettings &traffic,
          const std::vector<Arrival> &arrivals)
        : settings_(settings)
        , traffic_(traffic)
        , arrivals_(arrivals)
        , random_(traffic.seed_ + 1)
        , store_(loop_)
    {
        for (int i = 0; i < settings.engines_; ++i)
            addEngine(i);
        for (int i = 0; i < settings.entries_; ++i)
            addEntry(i);
        for (std::size_t i = 0; i < engines_.size(); ++i)
            loop_.at(kHeartbeatSeconds * double(i) / double(engines_.size()),
                     [this, i] { sendHeartbeat(engines_[i]); });
        for (std::size_t i = 0; i < arrivals.size(); ++i)
            loop_.at(arrivals[i].at_ + 1, [this, i] { arrive(i); });
        loop_.at(traffic.restartAt_, [this] { restart(engines_[0]); });
    }

    FleetResult run()
    {
        loop_.run(traffic_.seconds_ + 200);
        return summarize();
    }

private:
    struct Entry
    {
        std::unique_ptr<TargetDirectory> directory_;
        std::unique_ptr<Router> router_;
        std::string dataCentre_;
    };

    void addEngine(int index)
    {
        Engine engine;
        engine.name_ = "engine" + std::to_string(index);
        engine.core_ = std::make_unique<AgentCore>(settings_.agent_, settings_.keepValue_);
        for (int w = 0; w < kWorkspaces; ++w)
            engine.core_->setWeight(std::to_string(w), kTrafficShares[w] * kWorkspaces);
        engines_.push_back(std::move(engine));
        infos_.push_back(TargetInfo{.name_ = engines_.back().name_,
                                    .group_ = "engines",
                                    .dataCentre_ = std::to_string(index % 3),
                                    .address_ = ""});
    }

    void addEntry(int index)
    {
        Entry entry;
        entry.directory_ = std::make_unique<TargetDirectory>(loop_.clock());
        entry.directory_->setTargets(infos_);
        entry.router_ =
            std::make_unique<Router>(loop_.clock(), *entry.directory_, settings_.placement_(index));
        entry.dataCentre_ = std::to_string(index % 3);
        entries_.push_back(std::move(entry));
    }

    // Sends a heartbeat to all entries; each delivery is delayed by a random time or lost.
    void sendHeartbeat(Engine &engine)
    {
        const AgentSnapshot snapshot = engine.core_->snapshot();
        const TargetReport report{.name_ = engine.name_,
                                  .incarnation_ = "1",
                                  .sequence_ = ++engine.sequence_,
                                  .running_ = snapshot.running_,
                                  .waiting_ = snapshot.waiting_,
                                  .maxRunning_ = snapshot.maxRunning_,
                                  .loadsInFlight_ = snapshot.loadsInFlight_,
                                  .draining_ = snapshot.draining_,
                                  .resident_ = snapshot.resident_,
                                  .loading_ = snapshot.loading_};
        for (Entry &entry : entries_) {
            const double lag = std::uniform_real_distribution(0.01, 0.2)(random_);
            if (!std::bernoulli_distribution(kHeartbeatLossProbability)(random_))
                loop_.at(loop_.now() + lag,
                         [&entry, report] { entry.directory_->heartbeat(report); });
        }
        applyDecisions(engine);
        loop_.at(loop_.now() + kHeartbeatSeconds, [this, &engine] { sendHeartbeat(engine); });
    }

    void arrive(std::size_t index)
    {
        auto request = std::make_shared<Request>();
        request->arrival_ = arrivals_[index];
        request->entry_ = static_cast<int>(random_() % entries_.size());
        place(request, std::to_string(index));
    }

    void place(const std::shared_ptr<Request> &request, const std::string &id)
    {
        Entry &entry = entries_[static_cast<std::size_t>(request->entry_)];
        const Arrival &arrival = request->arrival_;
        const AdapterId adapter{std::to_string(arrival.adapter_), "1"};
        request->placement_.reset();
        Result<Placement> placement = entry.router_->choose({.group_ = "engines",
                                                             .dataCentre_ = entry.dataCentre_,
                                                             .adapter_ = adapter,
                                                             .priority_ = arrival.priority_},
                                                            request->tried_);
        if (!placement || request->tried_.size() >= kMaxAttempts) {
            recordShed(*request);
            return;
        }
        request->placement_ = std::move(*placement);
        const std::string &name = request->placement_->target().name_;
        request->tried_.insert(name);
        Engine &engine = engines_[std::stoul(name.substr(6))];
        const bool chat = arrival.priority_ == Priority::Chat;
        const double timeoutSeconds = chat ? 10 : 120;
        request->agentArrival_ = loop_.now();
        request->stallEnd_ = loop_.now();
        engine.requests_[id] = request;
        engine.core_->submit({.id_ = id,
                              .workspace_ = std::to_string(arrival.workspace_),
                              .adapter_ = adapter,
                              .priority_ = arrival.priority_,
                              .cost_ = chat ? 300.0 : 2400.0,
                              .deadline_ = loop_.time() + micros(timeoutSeconds)},
                             loop_.time());
        applyDecisions(engine);
    }

    void recordShed(const Request &request)
    {
        if (!isMeasured(request.arrival_))
            return;
        ++(request.arrival_.workspace_ == kFloodWorkspace ? result_.floodShed_ : result_.shed_);
    }

    [[nodiscard]] bool isMeasured(const Arrival &arrival) const
    {
        return arrival.at_ >= traffic_.warmUp_;
    }

    void applyDecisions(Engine &engine)
    {
        const AgentDecisions decisions = engine.core_->decide(loop_.time(), FencingNumber(1));
        for (const AdmittedRequest &admitted : decisions.admitted_)
            start(engine, admitted);
        for (const EngineOrder &order : decisions.orders_)
            execute(engine, order);
        for (const RefusedRequest &refused : decisions.refused_) {
            const std::shared_ptr<Request> request = engine.requests_.at(refused.id_);
            engine.requests_.erase(refused.id_);
            if (refused.error_.code_ == ErrorCode::DeadlineExceeded)
                recordShed(*request);
            else
                loop_.at(loop_.now() + 0.001,
                         [this, request, id = refused.id_] { place(request, id); });
        }
    }

    void start(Engine &engine, const AdmittedRequest &admitted)
    {
        const std::shared_ptr<Request> request = engine.requests_.at(admitted.id_);
        const Arrival &arrival = request->arrival_;
        updateAverages(engine);
        ++engine.runningCount_;
        const AdapterId adapter{std::to_string(arrival.adapter_), "1"};
        ++engine.running_[adapter];
        if (isMeasured(arrival))
            record(*request, admitted.stalled_);
        loop_.at(loop_.now() + arrival.serviceSeconds_,
                 [this, &engine, id = admitted.id_, boot = engine.boot_] {
                     if (boot == engine.boot_)
                         finish(engine, id);
                 });
    }

    void record(const Request &request, bool stalled)
    {
        const Arrival &arrival = request.arrival_;
        const bool chat = arrival.priority_ == Priority::Chat;
        const auto workspace = static_cast<std::size_t>(arrival.workspace_);
        const double wait = loop_.now() - (arrival.at_ + 1);
        const bool isBeforeFlood = arrival.at_ < traffic_.floodFrom_;
        ++started_;
        preFloodStarted_ += isBeforeFlood ? 1 : 0;
        preFloodStalls_ += isBeforeFlood && stalled ? 1 : 0;
        chatStarted_ += chat ? 1 : 0;
        if (stalled) {
            stalls_.push_back(request.stallEnd_ - request.agentArrival_);
            chatStalls_ += chat ? 1 : 0;
        }
        if (!chat)
            return;
        chatWaits_[workspace].push_back(wait);
        if (arrival.at_ >= traffic_.floodFrom_ && arrival.at_ < traffic_.floodTo_)
            floodWaits_[workspace].push_back(wait);
    }

    void finish(Engine &engine, const std::string &id)
    {
        updateAverages(engine);
        --engine.runningCount_;
        const std::shared_ptr<Request> request = engine.requests_.at(id);
        const auto count = engine.running_.find({std::to_string(request->arrival_.adapter_), "1"});
        if (--count->second == 0)
            engine.running_.erase(count);
        engine.requests_.erase(id);
        engine.core_->finish(id);
        applyDecisions(engine);
    }

    // Adds the time since the last change, weighted by the current values, to the time averages.
    void updateAverages(Engine &engine)
    {
        const double elapsed = loop_.now() - std::max(engine.updatedAt_, traffic_.warmUp_);
        engine.updatedAt_ = loop_.now();
        if (elapsed <= 0 || loop_.now() > traffic_.seconds_ || engine.runningCount_ == 0)
            return;
        engine.busySeconds_ += elapsed;
        engine.busyPlaceSeconds_ += elapsed * double(engine.runningCount_);
        engine.distinctSeconds_ += elapsed * double(engine.running_.size());
    }

    void execute(Engine &engine, const EngineOrder &order)
    {
        using Kind = EngineOrder::Kind;
        if (order.kind_ == Kind::Load) {
            loads_ += loop_.now() >= traffic_.warmUp_ && loop_.now() < traffic_.seconds_ ? 1 : 0;
            store_.load([this, &engine, order] { loadEnded(engine, order); });
            return;
        }
        if (order.kind_ == Kind::Unload)
            engine.loaded_.erase(order.adapter_);
        loop_.at(loop_.now() + kEngineOrderSeconds, [this, &engine, order] {
            if (order.kind_ == Kind::List)
                engine.core_->listDone(order, loadedAdapters(engine), loop_.time());
            else
                engine.core_->orderDone(order, {}, loop_.time());
            applyDecisions(engine);
        });
    }

    static std::vector<EngineAdapter> loadedAdapters(const Engine &engine)
    {
        std::vector<EngineAdapter> lines;
        for (const AdapterId &adapter : engine.loaded_)
            lines.push_back({adapter, engine.running_.contains(adapter) ? 1 : 0});
        return lines;
    }

    void loadEnded(Engine &engine, const EngineOrder &order)
    {
        const bool failed = std::bernoulli_distribution(kLoadFailureProbability)(random_);
        for (auto &[id, request] : engine.requests_) {
            const AdapterId adapter{std::to_string(request->arrival_.adapter_), "1"};
            const bool waited =
                adapter == order.adapter_ && request->stallEnd_ == request->agentArrival_;
            if (waited)
                request->stallEnd_ = loop_.now();
        }
        Result<void> result;
        if (failed)
            result = notRun(ErrorCode::AdapterLoadFailed, "failed");
        else
            engine.loaded_.insert(order.adapter_);
        engine.core_->orderDone(order, result, loop_.time());
        applyDecisions(engine);
    }

    // Restarts the engine: it loses its loaded adapters and running requests. The agent learns of
    // the lost adapters from a list order.
    void restart(Engine &engine)
    {
        updateAverages(engine);
        ++engine.boot_;
        engine.loaded_.clear();
        engine.running_.clear();
        engine.runningCount_ = 0;
        std::vector<std::string> ids;
        for (const auto &[id, request] : engine.requests_)
            ids.push_back(id);
        for (const std::string &id : ids) {
            const bool running = engine.core_->contains(id) && !engine.core_->isWaiting(id);
            if (!running)
                continue;
            engine.requests_.erase(id);
            engine.core_->finish(id);
        }
        engine.core_->requestList();
        applyDecisions(engine);
    }

    FleetResult summarize()
    {
        FleetResult result = result_;
        result.stallsPerThousand_ = 1000.0 * double(stalls_.size()) / started_;
        result.preFloodStallsPerThousand_ = 1000.0 * preFloodStalls_ / preFloodStarted_;
        result.chatStallsPerThousand_ = 1000.0 * chatStalls_ / chatStarted_;
        result.stallP50_ = quantile(stalls_, 0.5);
        result.stallP99_ = quantile(stalls_, 0.99);
        result.loadsPerSecond_ = loads_ / (traffic_.seconds_ - traffic_.warmUp_);
        double busy = 0;
        double places = 0;
        double distinct = 0;
        for (const Engine &engine : engines_) {
            busy += engine.busySeconds_;
            places += engine.busyPlaceSeconds_;
            distinct += engine.distinctSeconds_;
        }
        result.batchFill_ = places / busy / double(settings_.agent_.maxRunning_);
        result.adaptersPerBatch_ = distinct / busy;
        std::vector<double> others;
        for (int w = 0; w < kWorkspaces; ++w) {
            result.chatWaitP99_[w] = quantile(chatWaits_[w], 0.99);
            result.floodWaitP99_[w] = quantile(floodWaits_[w], 0.99);
            if (w != kFloodWorkspace)
                others.push_back(result.floodWaitP99_[w]);
        }
        result.maxOverMedianFloodWait_ =
            *std::max_element(others.begin(), others.end()) / quantile(others, 0.5);
        return result;
    }

    const FleetSettings &settings_;
    const TrafficSettings &traffic_;
    const std::vector<Arrival> &arrivals_;
    std::mt19937_64 random_;
    EventLoop loop_;
    WeightStore store_;
    std::vector<TargetInfo> infos_;
    std::vector<Entry> entries_; // outlive the placements in engines_
    std::vector<Engine> engines_;
    FleetResult result_;
    std::vector<double> stalls_;
    std::vector<double> chatWaits_[kWorkspaces];
    std::vector<double> floodWaits_[kWorkspaces];
    double started_ = 0;
    double preFloodStarted_ = 0;
    double preFloodStalls_ = 0;
    double chatStarted_ = 0;
    double chatStalls_ = 0;
    double loads_ = 0;
};

} // namespace

FleetResult runFleet(const FleetSettings &settings, const TrafficSettings &traffic,
                     const std::vector<Arrival> &arrivals)
{
    return Fleet(settings, traffic, arrivals).run();
}

} // namespace foxtailturn::bench
