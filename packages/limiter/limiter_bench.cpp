// Simulates three ways to enforce a fleet-wide limit in virtual time: transferable shares, a static
// division of the limit, and a table write per charge. Prints one table: per scheme and tenant the
// excess over rate x time + burst, the wrongful refusals in each phase, and the store's writes per
// second.

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <memory>

#include "base/log.h"
#include "limiter/limiter_fixture.h"

namespace foxtailturn {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr WorkspaceLimit kLimit{.rate_ = 20'000, .burst_ = 200'000};
constexpr std::int64_t kMeanTokens = 500; // mean number of tokens used per request
constexpr Duration kStoreWriteTime = std::chrono::microseconds(2500); // 400 writes/s

constexpr Duration kStartupTime = seconds(2); // time until all entries are ready

struct Tenant
{
    std::string name_;
    double loadFactor_ = 1; // offered load as a multiple of the rate
    bool isDistributed_ = true; // requests go to random entries; otherwise all go to one entry
    bool isEvenlySpaced_ = false; // equal requests at equal intervals, so never above the rate
};

const std::array kTenants = {
    Tenant{"0.9x", 0.9},
    Tenant{"1x", 1.0, true, true},
    Tenant{"5x", 5.0},
    Tenant{"0.9x on one entry", 0.9, false},
    Tenant{"1x on one entry", 1.0, false, true},
};

// One way to enforce a fleet-wide limit.
class Scheme
{
public:
    virtual ~Scheme() = default;
    virtual void after(Duration delay, std::function<void()> action) = 0;
    virtual void run(Duration time) = 0;
    virtual void submit(std::size_t entry, const std::string &tenant, TestRequest request,
                        const std::function<void(bool)> &done) = 0;
    virtual bool isServing(std::size_t entry) = 0;
    virtual void kill(std::size_t entry) = 0;
    virtual void restart(std::size_t entry) = 0;
    virtual void setPaused(std::size_t entry, bool isPaused) = 0;
    virtual void setIsolated(std::size_t, bool) { }
    virtual void setStoreDown(bool) { }
    virtual MicroTokens excess(const std::string &tenant) = 0;
    virtual std::uint64_t storeWrites() = 0;
};

class TransferableShares final : public Scheme
{
public:
    explicit TransferableShares(std::size_t entries)
        : fixture_(1, entries, {})
    {
        for (const Tenant &tenant : kTenants)
            fixture_.addWorkspace(tenant.name_, kLimit);
    }

    void after(Duration delay, std::function<void()> action) override
    {
        fixture_.after(delay, std::move(action));
    }
    void run(Duration time) override { fixture_.run(time); }
    void submit(std::size_t entry, const std::string &tenant, TestRequest request,
                const std::function<void(bool)> &done) override
    {
        fixture_.submit(entry, tenant, request, done);
    }
    bool isServing(std::size_t entry) override
    {
        return fixture_.isServing(entry) && fixture_.isReady(entry);
    }
    void kill(std::size_t entry) override { fixture_.kill(entry); }
    void restart(std::size_t entry) override { fixture_.restart(entry); }
    void setPaused(std::size_t entry, bool isPaused) override
    {
        fixture_.setPaused(entry, isPaused);
        if (!isPaused) {
            fixture_.run(milliseconds(1));
            fixture_.restart(entry); // the old incarnation has been fenced
        }
    }
    void setIsolated(std::size_t entry, bool isIsolated) override
    {
        fixture_.setIsolated(entry, isIsolated);
    }
    void setStoreDown(bool isDown) override { fixture_.setStoreDown(isDown); }
    MicroTokens excess(const std::string &tenant) override
    {
        return fixture_.excess(tenant, kLimit);
    }
    std::uint64_t storeWrites() override { return fixture_.storeWrites(); }

private:
    LimiterFixture fixture_;
};

// Common base of the two schemes for comparison: which entries are up, and the spend logs.
class Baseline : public Scheme
{
public:
    explicit Baseline(std::size_t entries)
        : isUp_(entries, true)
    { }

    void after(Duration delay, std::function<void()> action) override
    {
        events_.after(delay, std::move(action));
    }
    void run(Duration time) override { events_.run(time); }
    bool isServing(std::size_t entry) override { return isUp_[entry]; }
    void kill(std::size_t entry) override { isUp_[entry] = false; }
    void restart(std::size_t entry) override { isUp_[entry] = true; }
    void setPaused(std::size_t entry, bool isPaused) override { isUp_[entry] = !isPaused; }
    MicroTokens excess(const std::string &tenant) override
    {
        return spendLogs_[tenant].excess(kLimit);
    }
    std::uint64_t storeWrites() override { return writes_; }

protected:
    // Charges the bucket now. Settles the charge when the request has run and, after that, the
    // delay returned by settleDelay has passed; never if it returns nullopt.
    bool spend(TokenBucket &bucket, const std::string &tenant, TestRequest request,
               const std::function<std::optional<Duration>()> &settleDelay)
    {
        const std::uint64_t id = ++lastId_;
        const TimePoint now = events_.clock_.now();
        if (!bucket.take(id, request.charge_ * kMicroTokensPerToken, now))
            return false;
        SpendLog &log = spendLogs_[tenant];
        const std::size_t index = log.add(now, request.charge_);
        events_.after(request.runTime_, [=, this, &bucket, &log] {
            log.setUsed(index, request.used_);
            const std::optional<Duration> delay = settleDelay();
            if (!delay)
                return;
            const MicroTokens refund = (request.charge_ - request.used_) * kMicroTokensPerToken;
            events_.after(*delay,
                          [=, this, &bucket] { bucket.settle(id, refund, events_.clock_.now()); });
        });
        return true;
    }

    std::map<std::string, SpendLog> spendLogs_;
    EventQueue events_;
    std::vector<bool> isUp_;
    std::uint64_t writes_ = 0;

private:
    std::uint64_t lastId_ = 0;
};

class StaticDivision final : public Baseline
{
public:
    explicit StaticDivision(std::size_t entries)
        : Baseline(entries)
        , entries_(entries)
    {
        for (std::size_t entry = 0; entry < entries; ++entry)
            fill(entry, kLimit.burst_);
    }

    void submit(std::size_t entry, const std::string &tenant, TestRequest request,
                const std::function<void(bool)> &done) override
    {
        done(spend(*buckets_[entry].at(tenant), tenant, request, [] { return Duration(0); }));
    }
    void restart(std::size_t entry) override
    {
        Baseline::restart(entry);
        fill(entry, 0); // starts empty, as the spending of the old process is unknown
    }

private:
    void fill(std::size_t entry, std::int64_t burst)
    {
        const TimePoint now = events_.clock_.now();
        const auto units = static_cast<std::int64_t>(kTotalUnits / entries_);
        for (const Tenant &tenant : kTenants) {
            // Buckets of earlier processes stay alive, because pending events still settle charges
            // there.
            auto bucket = std::make_shared<TokenBucket>(kLimit, now);
            bucket->addUnits(units, burst * units, now);
            allBuckets_.push_back(bucket);
            buckets_[entry][tenant.name_] = bucket;
        }
    }

    std::size_t entries_;
    std::map<std::size_t, std::map<std::string, std::shared_ptr<TokenBucket>>> buckets_;
    std::vector<std::shared_ptr<TokenBucket>> allBuckets_;
};

// Each reservation and each settlement is one write to a store with a capacity of 400 writes/s.
class TableWritePerCharge final : public Baseline
{
public:
    explicit TableWritePerCharge(std::size_t entries)
        : Baseline(entries)
    {
        const TimePoint now = events_.clock_.now();
        for (const Tenant &tenant : kTenants) {
            TokenBucket &bucket =
                rows_.emplace(tenant.name_, TokenBucket(kLimit, now)).first->second;
            bucket.addUnits(kTotalUnits, kLimit.burst_ * kTotalUnits, now);
        }
    }

    void submit(std::size_t, const std::string &tenant, TestRequest request,
                const std::function<void(bool)> &done) override
    {
        const std::optional<Duration> wait = write();
        if (!wait)
            return done(false);
        events_.after(*wait, [=, this] {
            done(spend(rows_.at(tenant), tenant, request, [this] { return write(); }));
        });
    }
    void setStoreDown(bool isDown) override { isDown_ = isDown; }

private:
    // Returns how long the write takes; nullopt if the store is down or the write would take longer
    // than kPeerWait.
    std::optional<Duration> write()
    {
        const TimePoint now = events_.clock_.now();
        const TimePoint doneAt = std::max(now, freeAt_) + kStoreWriteTime;
        if (isDown_ || doneAt > now + kPeerWait)
            return std::nullopt;
        freeAt_ = doneAt;
        ++writes_;
        return doneAt - now;
    }

    std::map<std::string, TokenBucket> rows_;
    bool isDown_ = false;
    TimePoint freeAt_;
};

struct Phase
{
    std::string name_;
    Duration length_{};
    Duration faultLength_{};
    void (*begin_)(Scheme &, std::size_t &pinned) = nullptr;
    void (*end_)(Scheme &) = nullptr;
};

constexpr std::size_t kFaultyEntry = 1; // the entry that fails; it gets distributed traffic too

const std::array kPhases = {
    Phase{"warm-up", seconds(10)},
    Phase{"steady", seconds(60)},
    Phase{"move", seconds(20), seconds(1),
          [](Scheme &, std::size_t &pinned) { pinned = kFaultyEntry; }},
    Phase{"kill", seconds(20), seconds(5),
          [](Scheme &scheme, std::size_t &) { scheme.kill(kFaultyEntry); },
          [](Scheme &scheme) { scheme.restart(kFaultyEntry); }},
    Phase{"recover", seconds(30)},
    Phase{"pause", seconds(20), seconds(10),
          [](Scheme &scheme, std::size_t &) { scheme.setPaused(kFaultyEntry, true); },
          [](Scheme &scheme) { scheme.setPaused(kFaultyEntry, false); }},
    Phase{"recover", seconds(30)},
    Phase{"outage", seconds(60), seconds(60),
          [](Scheme &scheme, std::size_t &) { scheme.setStoreDown(true); },
          [](Scheme &scheme) { scheme.setStoreDown(false); }},
    Phase{"partition", seconds(30), seconds(20),
          [](Scheme &scheme, std::size_t &) { scheme.setIsolated(kFaultyEntry, true); },
          [](Scheme &scheme) { scheme.setIsolated(kFaultyEntry, false); }},
};

struct RefusalCount
{
    std::int64_t withinRate_ = 0; // requests or tokens that a single central bucket would admit
    std::int64_t notAdmitted_ = 0; // of these, not admitted; negative if more tokens were admitted
};

// Sends the traffic of all tenants through one scheme and counts refusals per phase.
class BenchmarkRun
{
public:
    BenchmarkRun(Scheme &scheme, std::size_t entries)
        : scheme_(scheme)
        , entries_(entries)
    {
        for (std::size_t i = 0; i < kTenants.size(); ++i) {
            TrafficSource &source = sources_.emplace_back(TrafficSource{std::mt19937_64(i + 1)});
            source.centralBucket_.addUnits(kTotalUnits, kLimit.burst_ * kTotalUnits, {});
            scheme_.after(kStartupTime + Duration(i), [this, i] { arrive(i); });
        }
    }

    void runPhases()
    {
        for (phase_ = 0; phase_ < kPhases.size(); ++phase_) {
            const Phase &phase = kPhases[phase_];
            if (phase.begin_ != nullptr)
                phase.begin_(scheme_, pinnedEntry_);
            scheme_.run(phase.faultLength_);
            if (phase.end_ != nullptr)
                phase.end_(scheme_);
            scheme_.run(phase.length_ - phase.faultLength_);
            length_ += phase.length_;
        }
    }

    void print(const char *name)
    {
        const double writes = static_cast<double>(scheme_.storeWrites())
            / std::chrono::duration<double>(length_).count();
        for (std::size_t i = 0; i < kTenants.size(); ++i) {
            const auto excess = std::max<MicroTokens>(0, scheme_.excess(kTenants[i].name_));
            std::printf("%7zu  %-15s  %-18s %9.3f", entries_, name, kTenants[i].name_.c_str(),
                        static_cast<double>(excess) / kMicroTokensPerToken);
            for (std::size_t phase = 0; phase < kPhases.size(); ++phase) {
                if (isCounted(phase))
                    std::printf(" %9.3f", percent(sources_[i].counts_[phase]));
            }
            std::printf(" %9.1f\n", writes);
        }
    }

    static bool isCounted(std::size_t phase)
    {
        return kPhases[phase].name_ != "warm-up" && kPhases[phase].name_ != "recover";
    }

private:
    struct TrafficSource
    {
        std::mt19937_64 random_;
        TokenBucket centralBucket_{kLimit, {}};
        std::uint64_t lastId_ = 0;
        Duration arrivalTime_{};
        std::array<RefusalCount, kPhases.size()> counts_{};
    };

    static double percent(const RefusalCount &count)
    {
        return count.withinRate_ == 0
            ? 0
            : 100.0 * static_cast<double>(std::max<std::int64_t>(0, count.notAdmitted_))
                / static_cast<double>(count.withinRate_);
    }

    std::size_t entryFor(const Tenant &tenant, TrafficSource &source)
    {
        std::size_t entry = tenant.isDistributed_ ? source.random_() % entries_ : pinnedEntry_;
        while (!scheme_.isServing(entry))
            entry = (entry + 1) % entries_;
        return entry;
    }

    TestRequest nextRequest(const Tenant &tenant, TrafficSource &source)
    {
        std::uniform_int_distribution<std::int64_t> size(100, 2 * kMeanTokens - 100);
        const std::int64_t used = tenant.isEvenlySpaced_ ? kMeanTokens : size(source.random_);
        const auto charge = used + static_cast<std::int64_t>(source.random_() % (used + 1));
        return {charge, used, milliseconds(500 + source.random_() % 3000)};
    }

    Duration nextGap(const Tenant &tenant, TrafficSource &source)
    {
        const double mean = 1e6 * kMeanTokens / (tenant.loadFactor_ * kLimit.rate_);
        const double gap = tenant.isEvenlySpaced_
            ? mean
            : std::exponential_distribution<>(1 / mean)(source.random_);
        return Duration(static_cast<std::int64_t>(gap));
    }

    void arrive(std::size_t index)
    {
        const Tenant &tenant = kTenants[index];
        TrafficSource &source = sources_[index];
        const TestRequest request = nextRequest(tenant, source);
        const std::size_t phase = phase_;
        const bool isWithinRate = source.centralBucket_.take(
            ++source.lastId_, request.used_ * kMicroTokensPerToken, TimePoint(source.arrivalTime_));
        source.centralBucket_.settle(source.lastId_, 0, TimePoint(source.arrivalTime_));
        // Above the rate, several choices of refused requests are correct, so tokens are counted
        // instead of requests.
        const bool countsTokens = tenant.loadFactor_ > 1;
        const std::int64_t weight = countsTokens ? request.used_ : 1;
        if (isWithinRate) {
            source.counts_[phase].withinRate_ += weight;
            source.counts_[phase].notAdmitted_ += weight;
        }
        scheme_.submit(entryFor(tenant, source), tenant.name_, request, [=, &source](bool done) {
            if (done && (isWithinRate || countsTokens))
                source.counts_[phase].notAdmitted_ -= weight;
        });
        const Duration gap = nextGap(tenant, source);
        source.arrivalTime_ += gap;
        scheme_.after(gap, [this, index] { arrive(index); });
    }

    Scheme &scheme_;
    std::size_t entries_;
    std::size_t pinnedEntry_ = 0;
    std::size_t phase_ = 0;
    Duration length_{};
    std::deque<TrafficSource> sources_;
};

template <typename T>
void benchScheme(const char *name, std::size_t entries)
{
    T scheme(entries);
    BenchmarkRun run(scheme, entries);
    run.runPhases();
    run.print(name);
}

int benchAll()
{
    configureLogging(LogLayout::Text, LogLevel::Error);
    std::printf("excess in tokens; wrongful refusals in %% of what one exact bucket admits "
                "(5x: tokens not admitted)\n");
    std::printf("%7s  %-15s  %-18s %9s", "entries", "scheme", "tenant", "excess");
    for (std::size_t phase = 0; phase < kPhases.size(); ++phase) {
        if (BenchmarkRun::isCounted(phase))
            std::printf(" %9s", kPhases[phase].name_.c_str());
    }
    std::printf(" %9s\n", "writes/s");
    for (std::size_t entries : {3, 6}) {
        benchScheme<TransferableShares>("movable shares", entries);
        benchScheme<StaticDivision>("static division", entries);
        benchScheme<TableWritePerCharge>("row per spend", entries);
    }
    return 0;
}

} // namespace
} // namespace foxtailturn

int main()
{
    return foxtailturn::benchAll();
}
