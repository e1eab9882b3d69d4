#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "retry/isolation_gate.h"
#include "retry/quarantine.h"

namespace foxtailturn {
namespace {

using std::chrono::milliseconds;

constexpr int kTargets = 12;
constexpr int kEntries = 3;
constexpr int kHarmlessRequests = 400;
constexpr int kResends = 12;
constexpr const char *kCrashingRequest = "killer";

// Parameters of the simulation. Disabling exchangesReports_ is a mutation of the protocol; it shows
// that the simulation detects the fault.
struct Scenario
{
    int copies_ = 1; // copies of the crashing request sent concurrently after each answer
    bool exchangesReports_ = true; // whether reports are exchanged with the peers before the answer
};

// Simulates 12 targets, 3 entries and their callers in virtual time.
class Fleet
{
public:
    Fleet(unsigned seed, const Scenario &scenario)
        : random_(seed)
        , scenario_(scenario)
    {
        for (int i = 0; i < kTargets; ++i)
            targets_.push_back(std::make_unique<Target>(clock_));
        for (int i = 0; i < kEntries; ++i)
            entries_.push_back(std::make_unique<Quarantine>(
                std::to_string(i), QuarantineClocks{clock_, wallClock_}, std::chrono::hours(1)));
    }

    void run()
    {
        for (int i = 0; i < kHarmlessRequests; ++i)
            schedule(randomBelow(200),
                     [this, i] { submit(randomBelow(kEntries), "innocent " + std::to_string(i)); });
        schedule(100, [this] { submit(randomBelow(kEntries), kCrashingRequest); });
        for (int steps = 0; !events_.empty() && steps < 1'000'000; ++steps)
            step();
    }

    int crashes_ = 0;
    int succeeded_ = 0;
    int quarantined_ = 0; // answers to the crashing request while it was quarantined
    int harmlessLost_ = 0; // harmless requests that were in flight on a target when it crashed

private:
    struct InFlightRequest
    {
        int entry_;
        std::string fingerprint_;
        bool isExclusive_;
    };

    struct Target
    {
        explicit Target(const Clock &clock)
            : gate_(clock)
        { }

        IsolationGate gate_;
        std::map<int, InFlightRequest> inFlight_;
        int bootCount_ = 0;
    };

    int randomBelow(int count)
    {
        return static_cast<int>(random_() % static_cast<unsigned>(count));
    }

    void schedule(int delay, std::function<void()> action)
    {
        events_.emplace(clock_.now() + milliseconds(delay), std::move(action));
    }

    void step()
    {
        const auto next = events_.begin();
        const auto action = std::move(next->second);
        wallClock_.advance(next->first - clock_.now());
        clock_.advance(next->first - clock_.now());
        events_.erase(next);
        action();
    }

    // Sends the report to the peers, with random delays both ways; calls done after all replies.
    void exchange(int entry, const SuspectRecord &report, const std::function<void()> &done)
    {
        if (!scenario_.exchangesReports_)
            return done();
        const auto pendingReplies = std::make_shared<int>(kEntries - 1);
        for (int peer = 0; peer < kEntries; ++peer) {
            if (peer == entry)
                continue;
            schedule(1 + randomBelow(20), [this, entry, peer, report, pendingReplies, done] {
                const SuspectRecord reply = entries_[peer]->merge(report);
                schedule(1 + randomBelow(20), [this, entry, reply, pendingReplies, done] {
                    entries_[entry]->merge(reply);
                    if (--*pendingReplies == 0)
                        done();
                });
            });
        }
    }

    void submit(int entry, const std::string &fingerprint)
    {
        const Result<Standing> standing = entries_[entry]->admit(fingerprint);
        if (!standing)
            return answer(fingerprint, false);
        if (*standing == Standing::Clear)
            return runShared(entry, fingerprint);
        const auto report =
            entries_[entry]->requestRun(fingerprint, wallClock_.now() + std::chrono::seconds(60));
        if (!report)
            return schedule(5, [this, entry, fingerprint] { submit(entry, fingerprint); });
        exchange(entry, *report, [this, entry, fingerprint] { confirm(entry, fingerprint); });
    }

    void runShared(int entry, const std::string &fingerprint)
    {
        const int target = randomBelow(kTargets);
        if (!targets_[target]->gate_.enter())
            return schedule(1, [this, entry, fingerprint] { submit(entry, fingerprint); });
        dispatch(target, {entry, fingerprint, false});
    }

    void confirm(int entry, const std::string &fingerprint)
    {
        const Result<bool> mayRun = entries_[entry]->confirmRun(fingerprint);
        if (!mayRun)
            return exchange(entry, entries_[entry]->endRun(fingerprint),
                            [this, fingerprint] { answer(fingerprint, false); });
        if (!*mayRun)
            return schedule(3, [this, entry, fingerprint] { confirm(entry, fingerprint); });
        runAlone(entry, fingerprint, randomBelow(kTargets));
    }

    void runAlone(int entry, const std::string &fingerprint, int target)
    {
        const auto alone =
            targets_[target]->gate_.enterAlone(fingerprint, clock_.now() + std::chrono::seconds(1));
        if (alone && *alone)
            return dispatch(target, {entry, fingerprint, true});
        const int next = alone ? target : randomBelow(kTargets);
        schedule(1, [this, entry, fingerprint, next] { runAlone(entry, fingerprint, next); });
    }

    void dispatch(int target, const InFlightRequest &request)
    {
        for (const auto &[id, other] : targets_[target]->inFlight_)
            CHECK(!(request.isExclusive_ || other.isExclusive_));
        const int id = nextRequestId_++;
        targets_[target]->inFlight_.emplace(id, request);
        if (request.fingerprint_ == kCrashingRequest)
            schedule(1 + randomBelow(10), [this, target, id] { crash(target, id); });
        else
            schedule(5 + randomBelow(50), [this, target, id] { complete(target, id); });
    }

    void complete(int target, int id)
    {
        const auto node = targets_[target]->inFlight_.extract(id);
        if (node.empty())
            return; // the target has crashed meanwhile
        const InFlightRequest request = node.mapped();
        targets_[target]->gate_.leave();
        std::optional<SuspectRecord> report =
            entries_[request.entry_]->completed(request.fingerprint_);
        if (request.isExclusive_)
            report = entries_[request.entry_]->endRun(request.fingerprint_);
        if (!report)
            return answer(request.fingerprint_, true);
        exchange(request.entry_, *report, [this, request] { answer(request.fingerprint_, true); });
    }

    void crash(int target, int id)
    {
        Target &crashed = *targets_[target];
        if (crashed.inFlight_.count(id) == 0)
            return; // another copy has crashed the target meanwhile
        ++crashes_;
        const std::string crashId =
            std::to_string(target) + "/" + std::to_string(crashed.bootCount_++);
        const auto failedRequests = std::exchange(crashed.inFlight_, {});
        crashed.gate_.reset();
        for (const auto &[requestId, request] : failedRequests)
            schedule(randomBelow(4),
                     [this, request = request, crashId] { handleCrash(request, crashId); });
    }

    void handleCrash(const InFlightRequest &request, const std::string &crashId)
    {
        Quarantine &quarantine = *entries_[request.entry_];
        SuspectRecord report = quarantine.crashed(request.fingerprint_, crashId);
        if (request.isExclusive_)
            report = quarantine.endRun(request.fingerprint_);
        harmlessLost_ += request.fingerprint_ == kCrashingRequest ? 0 : 1;
        exchange(request.entry_, report, [this, request] {
            const bool retries = request.fingerprint_ != kCrashingRequest || randomBelow(2) == 0;
            if (retries)
                submit(request.entry_, request.fingerprint_);
            else
                answer(request.fingerprint_, false);
        });
    }

    void answer(const std::string &fingerprint, bool succeeded)
    {
        if (fingerprint != kCrashingRequest) {
            succeeded_ += succeeded ? 1 : 0;
            return;
        }
        if (!entries_[0]->admit(kCrashingRequest))
            ++quarantined_;
        if (resends_++ >= kResends)
            return;
        for (int i = 0; i < scenario_.copies_; ++i)
            submit(randomBelow(kEntries), kCrashingRequest);
    }

    ManualClock clock_;
    ManualWallClock wallClock_;
    std::mt19937 random_;
    Scenario scenario_;
    std::multimap<TimePoint, std::function<void()>> events_;
    std::vector<std::unique_ptr<Target>> targets_;
    std::vector<std::unique_ptr<Quarantine>> entries_;
    int nextRequestId_ = 0;
    int resends_ = 0;
};

// Guards against a resent request that crashes target after target, and against harmless requests
// that fail for good because they were in flight on a crashed target.
TEST_CASE("a repeatedly sent crashing request crashes at most 2 of 12 targets")
{
    int harmlessLost = 0;
    for (unsigned seed = 0; seed < 300; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed, {.copies_ = 1 + static_cast<int>(seed % 3)});
        fleet.run();
        CHECK(fleet.crashes_ == 2);
        CHECK(fleet.succeeded_ == kHarmlessRequests);
        CHECK(fleet.quarantined_ > 0);
        harmlessLost += fleet.harmlessLost_;
    }
    CHECK(harmlessLost > 300); // otherwise too few harmless requests were in flight at a crash
}

// Guards against a simulation in which the crashing request would do little harm anyway.
TEST_CASE("without reports to the peers more than 2 targets crash")
{
    int crashes = 0;
    for (unsigned seed = 0; seed < 20; ++seed) {
        Fleet fleet(seed, {.exchangesReports_ = false});
        fleet.run();
        crashes += fleet.crashes_;
    }
    CHECK(crashes > 2 * 20);
}

} // namespace
} // namespace foxtailturn
