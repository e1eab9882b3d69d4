#include "limiter/limiter.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include "limiter/limiter_fixture.h"

namespace foxtailturn {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr WorkspaceLimit kLimit{.rate_ = 1000, .burst_ = 5000};
constexpr FaultRates kHighFaultRates{.loss_ = 0.1,
                                     .duplicate_ = 0.1,
                                     .lostWriteAnswer_ = 0.1,
                                     .droppedWrite_ = 0.05,
                                     .delayedWrite_ = 0.1,
                                     .minDelay_ = milliseconds(0),
                                     .maxDelay_ = milliseconds(40)};

// Sends requests of random size to random entries, in total above the rate, until isStopped is
// true.
void sendRandomRequests(LimiterFixture &fixture, std::size_t entries, const bool &isStopped)
{
    if (isStopped)
        return;
    const auto charge = static_cast<std::int64_t>(fixture.random()() % 900);
    const auto used = static_cast<std::int64_t>(fixture.random()() % (charge + 1));
    fixture.submit(fixture.random()() % entries, "w",
                   {charge, used, milliseconds(fixture.random()() % 3000)});
    fixture.after(milliseconds(fixture.random()() % 100), [&fixture, &isStopped, entries] {
        sendRandomRequests(fixture, entries, isStopped);
    });
}

void injectFault(LimiterFixture &fixture, std::size_t entries)
{
    const std::size_t entry = fixture.random()() % entries;
    switch (fixture.random()() % 6) {
    case 0:
        fixture.kill(entry);
        break;
    case 1:
        fixture.setPaused(entry, true);
        break;
    case 2:
        fixture.setPaused(entry, false);
        break;
    case 3:
        fixture.setIsolated(entry, fixture.random()() % 2 == 0);
        break;
    case 4:
        fixture.setStoreDown(fixture.random()() % 2 == 0);
        break;
    default:
        fixture.restart(entry);
    }
}

// Clears all faults and restarts entries that are not running or whose lease was fenced.
void clearFaults(LimiterFixture &fixture, std::size_t entries)
{
    fixture.setFaults({});
    fixture.setStoreDown(false);
    for (std::size_t i = 0; i < entries; ++i) {
        fixture.setIsolated(i, false);
        fixture.setPaused(i, false);
    }
    fixture.run(seconds(6));
    for (std::size_t i = 0; i < entries; ++i) {
        if (!fixture.isServing(i) || fixture.lease(i).isFenced())
            fixture.restart(i);
    }
    fixture.run(seconds(10));
}

// Guards against spending above rate x time + burst, and against units that are duplicated or
// permanently lost because of lost, duplicate or late messages and writes.
TEST_CASE("under random faults the limit is never exceeded and all units are recovered")
{
    constexpr std::size_t kEntries = 4;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        LimiterFixture fixture(seed, kEntries, kHighFaultRates);
        fixture.addWorkspace("w", kLimit);
        fixture.run(seconds(3));
        bool isStopped = false;
        sendRandomRequests(fixture, kEntries, isStopped);
        for (int step = 0; step < 25; ++step) {
            fixture.run(milliseconds(fixture.random()() % 3000));
            injectFault(fixture, kEntries);
            REQUIRE(fixture.unitsOfLiveHolders("w") <= kTotalUnits);
            REQUIRE(fixture.excess("w", kLimit) <= 0);
        }
        clearFaults(fixture, kEntries);
        isStopped = true;
        fixture.run(seconds(2)); // until no units are in flight
        CHECK(fixture.unitsOfLiveHolders("w") == kTotalUnits);
        CHECK(fixture.excess("w", kLimit) <= 0);
    }
}

struct PauseCase
{
    bool ignoresLease_;
    bool isWithinLimit_;
};

// Guards against a suspended holder that resumes with its old level while its units are in use at
// another entry. The second case ignores the lease, to show that the check detects the violation.
TEST_CASE("a holder that resumes after its lease deadline spends nothing")
{
    for (const PauseCase &c : {PauseCase{false, true}, PauseCase{true, false}}) {
        CAPTURE(c.ignoresLease_);
        LimiterFixture fixture(1, 2, {});
        fixture.addWorkspace("w", kLimit);
        fixture.run(seconds(2));
        fixture.setPaused(0, true); // entry 0 created the row and therefore has the full burst
        if (c.ignoresLease_)
            fixture.setIgnoresLease(0);
        fixture.run(seconds(20));
        bool admitted = false;
        fixture.submit(1, "w", {5000, 5000}, [&](bool value) { admitted = value; });
        fixture.run(seconds(1));
        CHECK(admitted);
        fixture.setPaused(0, false);
        fixture.submit(0, "w", {5000, 5000});
        fixture.run(seconds(1));
        CHECK((fixture.excess("w", kLimit) <= 0) == c.isWithinLimit_);
    }
}

struct HeldLease final : LeaseStatus
{
    [[nodiscard]] bool isHeld() const override { return true; }
};

std::int64_t spendAll(Limiter &limiter)
{
    const std::int64_t tokens = limiter.state()[0].level_ / kMicroTokensPerToken;
    return limiter.reserve("w", tokens, Attempt::First) ? tokens : 0;
}

// A sender that starts with all units, a receiver, and a transfer to it that is still in flight.
struct TransferFixture
{
    TransferFixture()
    {
        for (Limiter *limiter : {&sender_, &receiver_}) {
            limiter->setLimit("w", kLimit);
            limiter->onGrant("w", {limiter == &sender_ ? kTotalUnits : 0, limiter == &sender_});
            limiter->setPeers({"a", "b"});
        }
        REQUIRE_FALSE(receiver_.reserve("w", 3000, Attempt::First));
        const OutgoingMessages outgoing = receiver_.poll("w");
        REQUIRE(outgoing.requests_.size() == 1);
        transfer_ = sender_.onRequest(outgoing.requests_[0]).value();
    }

    ManualClock clock_;
    HeldLease lease_;
    Limiter sender_{"a", clock_, lease_};
    Limiter receiver_{"b", clock_, lease_};
    ShareTransfer transfer_;
};

// Guards against tokens sent without the units that account for them: the sender would refill while
// they are in flight, and the two holders could together spend more than the burst at once.
TEST_CASE("units in flight do not refill at the sender")
{
    TransferFixture fixture;
    fixture.clock_.advance(seconds(60));
    std::int64_t spent = spendAll(fixture.sender_);
    REQUIRE(fixture.receiver_.onTransfer(fixture.transfer_));
    REQUIRE(fixture.receiver_.onTransfer(fixture.transfer_)); // repeated
    spent += spendAll(fixture.receiver_);
    CHECK(spent <= kLimit.burst_);
}

// Guards against units that are both reclaimed by a settlement and delivered by a late transfer.
TEST_CASE("after a net report no transfer is accepted from the fenced holder or sent to it")
{
    TransferFixture fixture;
    const NetRequest onSender{"w", {"a"}};
    for (int i = 0; i < 2; ++i) {
        const std::optional<NetReport> report = fixture.receiver_.onNetRequest(onSender);
        REQUIRE(report);
        CHECK(report->netUnits_.at("a") == 0);
        CHECK_FALSE(fixture.receiver_.onTransfer(fixture.transfer_));
        CHECK(fixture.receiver_.state()[0].units_ == 0);
    }
    const std::optional<NetReport> report = fixture.sender_.onNetRequest({"w", {"b"}});
    CHECK(report->netUnits_.at("b") == fixture.transfer_.units_);
    fixture.clock_.advance(seconds(1));
    CHECK(fixture.sender_.pollAll().transfers_.empty());
    CHECK_FALSE(fixture.sender_.onNetRequest(onSender)); // does not report on itself
}

// Guards against refusing a request for which only the tokens of all entries together suffice.
TEST_CASE("a request above the capacity of the local units obtains units from peers")
{
    LimiterFixture fixture(1, 4, {});
    fixture.addWorkspace("w", kLimit);
    fixture.run(seconds(2));
    for (std::size_t i = 0; i < 4; ++i)
        fixture.submit(i, "w", {400, 0, milliseconds(50)});
    fixture.run(seconds(5));
    int admitted = 0;
    fixture.submit(2, "w", {5000, 5000}, [&](bool value) { admitted += value ? 1 : 0; });
    fixture.run(seconds(1));
    CHECK(admitted == 1);
    const Result<Reservation> tooLarge = fixture.limiter(2).reserve("w", 5001, Attempt::First);
    REQUIRE(!tooLarge);
    CHECK(tooLarge.error().code_ == ErrorCode::BurstExceeded);
    CHECK(tooLarge.error().execution_ == Execution::NotRun);
}

// Guards against a livelock: two waiting requests that take the same tokens from each other until
// both fail.
TEST_CASE("two large requests at different entries are both admitted")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        LimiterFixture fixture(seed, 3, {});
        fixture.addWorkspace("w", {.rate_ = 20'000, .burst_ = 5000});
        fixture.run(seconds(2));
        int admitted = 0;
        for (std::size_t i = 0; i < 2; ++i)
            fixture.submit(i, "w", {4000, 4000}, [&](bool value) { admitted += value ? 1 : 0; });
        fixture.run(seconds(1));
        CHECK(admitted == 2);
    }
}

TEST_CASE("retryAt of a refusal is the time at which the tokens are available")
{
    LimiterFixture fixture(1, 1, {});
    fixture.addWorkspace("w", kLimit);
    fixture.run(seconds(2));
    REQUIRE(fixture.limiter(0).reserve("w", 5000, Attempt::First));
    const Result<Reservation> refused = fixture.limiter(0).reserve("w", 300, Attempt::First);
    REQUIRE(!refused);
    CHECK(refused.error().code_ == ErrorCode::RateLimited);
    CHECK(refused.error().retryAt_ == fixture.now() + milliseconds(300));
    fixture.run(milliseconds(300));
    CHECK(fixture.limiter(0).reserve("w", 300, Attempt::First));
}

// Guards against units that remain at a process after its graceful shutdown.
TEST_CASE("an entry that shuts down transfers its units to peers before it releases its lease")
{
    LimiterFixture fixture(1, 2, {.loss_ = 0.3});
    fixture.addWorkspace("w", kLimit);
    fixture.run(seconds(2));
    fixture.submit(1, "w", {100, 100});
    fixture.run(seconds(1));
    for (int i = 0; i < 100 && !fixture.limiter(0).isDrained(); ++i) {
        for (const ShareTransfer &transfer : fixture.limiter(0).drainAll().transfers_)
            CHECK(transfer.units_ > 0); // if lost, it is resent by the timer
        fixture.run(milliseconds(50));
    }
    CHECK(fixture.limiter(0).isDrained());
    REQUIRE(fixture.lease(0).release(TimePoint::max()));
    fixture.kill(0);
    fixture.run(seconds(2));
    CHECK(fixture.limiter(1).state()[0].units_ == kTotalUnits);
}

// Guards against tokens that appear when entries apply a new limit at different times.
TEST_CASE("a change of rate and burst adds no tokens")
{
    LimiterFixture fixture(3, 3, {});
    fixture.addWorkspace("w", kLimit);
    fixture.run(seconds(2));
    bool isStopped = false;
    sendRandomRequests(fixture, 3, isStopped);
    for (int i = 0; i < 40; ++i) {
        const bool isSmall = i % 2 == 0;
        for (std::size_t entry = 0; entry < 3; ++entry) {
            fixture.changeLimit("w", isSmall ? WorkspaceLimit{100, 1000} : kLimit, entry);
            fixture.run(milliseconds(fixture.random()() % 400));
        }
    }
    CHECK(fixture.excess("w", kLimit) <= 0);
    CHECK(fixture.unitsOfLiveHolders("w") <= kTotalUnits);
}

// Guards against charging for an unknown workspace or without a valid share.
TEST_CASE("reserve returns the error that corresponds to the state")
{
    LimiterFixture fixture(1, 1, {});
    fixture.setStoreDown(true);
    fixture.addWorkspace("w", kLimit);
    Limiter &limiter = fixture.limiter(0);
    CHECK(limiter.reserve("x", 1, Attempt::First).error().code_ == ErrorCode::RouteNotFound);
    CHECK(limiter.reserve("w", -1, Attempt::First).error().code_ == ErrorCode::BadRequest);
    CHECK(limiter.reserve("w", 1, Attempt::First).error().code_ == ErrorCode::StoreUnavailable);
    fixture.setStoreDown(false);
    fixture.run(seconds(2));
    CHECK(limiter.reserve("w", 1, Attempt::First));
    REQUIRE(fixture.lease(0).release(TimePoint::max()));
    CHECK(limiter.reserve("w", 1, Attempt::First).error().code_ == ErrorCode::LeaseExpired);
}

// Guards against data races: all threads spend from one bucket while its units are transferred.
TEST_CASE("threads together spend no more than rate x time + burst")
{
    const SystemClock clock;
    const HeldLease lease;
    Limiter limiter("a", clock, lease);
    const TimePoint startedAt = clock.now();
    limiter.setLimit("w", kLimit);
    limiter.onGrant("w", {kTotalUnits, true});
    std::atomic<std::int64_t> spent = 0;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (int step = 0; step < 5000; ++step) {
                limiter.setPeers({"a", "b"});
                if (const Result<Reservation> taken = limiter.reserve("w", 3, Attempt::First)) {
                    limiter.settle(*taken, 2);
                    spent += 2;
                }
                (void)limiter.onRequest({"w", "b", "a", 0, 1, 0, 0, 0, 0});
                (void)limiter.pollAll();
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    const std::chrono::duration<double> elapsed = clock.now() - startedAt;
    CHECK(spent <= kLimit.burst_ + elapsed.count() * kLimit.rate_);
}

} // namespace
} // namespace foxtailturn
