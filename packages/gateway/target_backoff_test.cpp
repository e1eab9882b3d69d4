#include "gateway/target_backoff.h"

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

#include <doctest/doctest.h>

#include "gateway/placement.h"
#include "retry/retry_budget.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));

// What callers and targets got.
struct Outcome
{
    int requests_ = 0;
    int served_ = 0;
    int rejected_ = 0; // sends that a target rejected
    Duration time_{}; // of the served requests
};

// Four entries before four targets of a plain service, two of which reject all requests for some
// time and say for how long.
class ServicePlay
{
public:
    ServicePlay(unsigned seed, bool isBackoffUsed)
        : random_(seed)
        , isBackoffUsed_(isBackoffUsed)
    {
        clock_.advance(kStart - clock_.now());
        for (int i = 0; i < kEntries; ++i)
            entries_.push_back(std::make_unique<Entry>(clock_));
    }

    Outcome run()
    {
        const TimePoint end = clock_.now() + seconds(8);
        while (clock_.now() < end) {
            for (auto &entry : entries_)
                finishDue(*entry);
            if (std::bernoulli_distribution(0.2)(random_)) // 200 requests a second
                send(*entries_[random_() % kEntries], clock_.now(), {});
            clock_.advance(milliseconds(1));
        }
        return result_;
    }

private:
    static constexpr int kEntries = 4;
    static constexpr int kTargets = 4;
    static constexpr int kRejecting = 2;
    static constexpr Duration kWork = milliseconds(30);
    static constexpr int kSlots = 6;
    static constexpr int kMaxSends = 5;

    struct Run
    {
        Target *target_;
        TimePoint endsAt_;
        TimePoint receivedAt_;
    };

    struct Entry
    {
        explicit Entry(const Clock &clock)
            : budget_(clock, {.percent_ = 15})
        {
            for (int i = 0; i < kTargets; ++i) {
                TargetRecord record;
                record.instance_ = "t" + std::to_string(i);
                record.service_ = "s";
                record.address_ = "10.0.0.1:" + std::to_string(80 + i);
                record.slots_ = kSlots;
                registry_.list(record, kStart);
            }
        }

        TargetRegistry registry_{Duration::zero()};
        Placement placement_;
        RetryBudget budget_;
        std::vector<Run> runs_;
    };

    [[nodiscard]] bool isRejecting(const Target &target) const
    {
        const Duration since = clock_.now() - kStart;
        const int index = target.record_.instance_[1] - '0';
        return index < kRejecting && since >= seconds(1) && since < seconds(7);
    }

    void send(Entry &entry, TimePoint receivedAt, std::vector<std::string> tried)
    {
        if (tried.empty()) {
            ++result_.requests_;
            entry.budget_.onRequest("s");
        }
        PlacementRequest request;
        request.excluded_ = tried;
        const PlacementChoice choice = entry.placement_.choose(
            entry.registry_.availableTargets("s", clock_.now()), request, clock_.now());
        Target *target = choice.target_;
        if (target == nullptr)
            return;
        if (isRejecting(*target)) {
            ++result_.rejected_;
            const double jitter = std::uniform_real_distribution<>(0, 1)(random_);
            if (isBackoffUsed_)
                target->backoff_.recordRejection(clock_.now(), seconds(3), jitter);
            tried.push_back(target->record_.instance_);
            if (tried.size() < kMaxSends && entry.budget_.tryRetry("s"))
                send(entry, receivedAt, tried);
            return;
        }
        ++target->inFlight_;
        entry.runs_.push_back({target, clock_.now() + kWork, receivedAt});
    }

    void finishDue(Entry &entry)
    {
        std::erase_if(entry.runs_, [&](const Run &run) {
            if (run.endsAt_ > clock_.now())
                return false;
            --run.target_->inFlight_;
            entry.registry_.succeeded(*run.target_);
            ++result_.served_;
            result_.time_ += clock_.now() - run.receivedAt_;
            return true;
        });
    }

    std::mt19937 random_;
    bool isBackoffUsed_;
    ManualClock clock_;
    std::vector<std::unique_ptr<Entry>> entries_;
    Outcome result_;
};

} // namespace

// Guards against a target that draws the traffic of its service because it rejects all of it.
TEST_CASE("half of a service's targets want nothing: the others serve all")
{
    for (unsigned seed = 0; seed < 10; ++seed) {
        CAPTURE(seed);
        const Outcome result = ServicePlay(seed, true).run();
        const Outcome without = ServicePlay(seed, false).run();
        CHECK(result.served_ >= 0.98 * result.requests_);
        CHECK(result.time_ / result.served_ < milliseconds(32));
        // Two targets, closed three times at most, reject two of each entry's requests each time.
        CHECK(result.rejected_ <= 4 * 2 * 3 * 2);
        CHECK(without.served_ < 0.5 * without.requests_); // the load is one that needs it
    }
}

TEST_CASE("a target is closed for as long as it says, and entries return at different times")
{
    TargetBackoff backoff;
    CHECK_FALSE(backoff.isClosed(kStart));
    backoff.recordRejection(kStart, seconds(3), 0);
    CHECK(backoff.isClosed(kStart + milliseconds(2999)));
    CHECK_FALSE(backoff.isClosed(kStart + seconds(3)));
    TargetBackoff other;
    other.recordRejection(kStart, seconds(3), 1);
    CHECK(other.closedUntil() == kStart + milliseconds(3750));
    // A later answer does not open it earlier.
    other.recordRejection(kStart + milliseconds(1), milliseconds(10), 0);
    CHECK(other.closedUntil() == kStart + milliseconds(3750));
    for (const Duration none : {Duration::zero(), Duration(seconds(-1))}) {
        TargetBackoff open;
        open.recordRejection(kStart, none, 0);
        CHECK_FALSE(open.isClosed(kStart));
        CHECK(open.isAvoided(kStart));
    }
}

TEST_CASE("work comes back one request at a time, then more")
{
    TargetBackoff backoff;
    CHECK_FALSE(backoff.isAtLimit(1000));
    backoff.recordRejection(kStart, std::nullopt, 0);
    CHECK(backoff.isAtLimit(1));
    CHECK_FALSE(backoff.isAtLimit(0));
    backoff.recordAcceptance();
    CHECK_FALSE(backoff.isAtLimit(1));
    CHECK(backoff.isAtLimit(2));
    for (int i = 0; i < 10; ++i)
        backoff.recordAcceptance();
    CHECK_FALSE(backoff.isAtLimit(1000));
}

TEST_CASE("rejections without a time lower a target's place for a short, growing time")
{
    TargetBackoff backoff;
    Duration last{};
    for (int i = 0; i < 10; ++i) {
        backoff.recordRejection(kStart, std::nullopt, 0);
        CHECK_FALSE(backoff.isClosed(kStart));
        const Duration avoidance = backoff.avoidedUntil() - kStart;
        CHECK(avoidance >= last);
        last = avoidance;
    }
    CHECK(last == seconds(1));
    backoff.recordAcceptance();
    CHECK_FALSE(backoff.isAvoided(kStart));
}

// Guards against the last targets of an overloaded service that get all of its requests.
TEST_CASE("half of the targets are avoided at most, the ones that rejected last")
{
    TargetRegistry registry{Duration::zero()};
    for (int i = 0; i < 4; ++i) {
        TargetRecord record;
        record.instance_ = "t" + std::to_string(i);
        record.service_ = "s";
        record.address_ = "10.0.0.1:" + std::to_string(80 + i);
        registry.list(record, kStart);
        registry.find(record.instance_)
            ->backoff_.recordRejection(kStart + milliseconds(i), std::nullopt, 0);
    }
    const Placement placement;
    const auto choose = [&](TimePoint now) {
        return placement.choose(registry.availableTargets("s", now), PlacementRequest(), now);
    };
    const PlacementChoice choice = choose(kStart + milliseconds(10));
    REQUIRE(choice.target_ != nullptr);
    std::vector<std::string> avoided;
    for (const PlacementCandidate &candidate : choice.candidates_) {
        if (candidate.passedOver_ == PassedOver::Avoided)
            avoided.push_back(candidate.target_->record_.instance_);
    }
    CHECK(avoided == std::vector<std::string>{"t2", "t3"});
    registry.find("t0")->backoff_.recordRejection(kStart, seconds(3), 0);
    CHECK(choose(kStart + milliseconds(10)).target_ == registry.find("t1"));
    for (int i = 1; i < 4; ++i)
        registry.find("t" + std::to_string(i))->backoff_.recordRejection(kStart, seconds(4), 0);
    CHECK(choose(kStart + seconds(1)).target_ == nullptr);
    CHECK(choose(kStart + seconds(1)).opensAt_ == kStart + seconds(3));
    // A new start of the target has said nothing.
    TargetRecord restarted = registry.find("t2")->record_;
    restarted.startTimeMs_ = 7;
    registry.list(restarted, kStart + seconds(1));
    CHECK(choose(kStart + seconds(1)).target_ == registry.find("t2"));
}

} // namespace foxtailturn::gateway
