#include "claims/once_executor.h"

#include <array>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "claims/claims_testing.h"

namespace foxtailturn {
namespace {

const ClaimLimits kLimits;

enum class Step { BeforeInsert, Insert, AfterInsert, BeforeDispatch, InCall, AfterAnswer, Record };
enum class Fault { None, Crash, Pause, Down, Lose, Drop, Delay, Race, Refuse, Cut };
enum class Landing { BeforeRepair, AfterRepair, AfterResend };

constexpr int kManyWrites = 1'000;
const char *const kStepNames[] = {"before insert",   "insert",  "after insert",
                                  "before dispatch", "in call", "after answer",
                                  "record"};
const char *const kFaultNames[] = {
    "none",           "crash",          "pause", "store down", "lost answers",
    "dropped writes", "delayed writes", "race",  "refused",    "cut"};

// A fault and the step at which it begins.
struct Event
{
    Step step_ = Step::BeforeInsert;
    Fault fault_ = Fault::None;
};

struct Cell
{
    std::array<Event, 2> events_;
    int writes_ = 1; // how many writes a write fault affects
    Landing landing_ = Landing::BeforeRepair; // when delayed writes take effect
    bool resendEarly_ = false; // another agent gets a resend before the repair
    bool startsReleased_ = false; // an earlier attempt left a released row
};

struct Crashed
{ };

// Fires the cell's faults when the attempt under test reaches their steps.
class Injector
{
public:
    Injector(const Cell &cell, ManualClock &clock)
        : events_(cell.events_)
        , writesLeft_(cell.writes_)
        , clock_(clock)
    { }

    // inWrite: whether the step is a write, in which a crash comes after the effect.
    void reach(Step step, bool inWrite = false)
    {
        for (Event &event : events_) {
            if (event.step_ == step)
                fire(std::exchange(event.fault_, Fault::None), inWrite);
        }
    }

    [[nodiscard]] bool isActive(Fault fault) const { return active_.count(fault) != 0; }

    // Returns the fault of the next write.
    Fault takeWriteFault()
    {
        for (const Fault fault : {Fault::Lose, Fault::Drop, Fault::Delay}) {
            if (isActive(fault))
                return writesLeft_-- > 0 ? fault : Fault::None;
        }
        return Fault::None;
    }

    void heal()
    {
        events_ = {};
        active_.clear();
    }

    std::function<void()> race_;

private:
    void fire(Fault fault, bool inWrite)
    {
        active_.insert(fault);
        if (fault == Fault::Crash && !inWrite)
            throw Crashed();
        if (fault == Fault::Pause)
            clock_.advance(std::chrono::hours(1));
        if (fault == Fault::Race)
            race_();
    }

    std::array<Event, 2> events_;
    std::set<Fault> active_;
    int writesLeft_;
    ManualClock &clock_;
};

// The table as the agent under test sees it.
class FaultyTable final : public TableService
{
public:
    FaultyTable(MemoryTable &table, Injector &injector)
        : table_(table)
        , injector_(injector)
    { }

    Result<std::optional<Row>> read(const std::string &key, TimePoint deadline) override
    {
        if (injector_.isActive(Fault::Down))
            return notRun(ErrorCode::StoreUnavailable, "down");
        return table_.read(key, deadline);
    }

    Result<RowVersion> write(const std::string &key, const std::string &value, RowVersion expected,
                             TimePoint deadline) override
    {
        const bool isInsert = writes_++ == 0;
        const bool isRecord = value.find(R"("state":"done")") != std::string::npos;
        if (isInsert || isRecord)
            injector_.reach(isInsert ? Step::Insert : Step::Record, true);
        const Result<RowVersion> written = faultyWrite(key, value, expected, deadline);
        if (injector_.isActive(Fault::Crash))
            throw Crashed();
        if (isInsert)
            injector_.reach(Step::AfterInsert);
        return written;
    }

    Result<void> remove(const std::string &, RowVersion, TimePoint) override
    {
        return notRun(ErrorCode::Internal, "not used");
    }

    Result<std::vector<Row>> scan(const std::string &, TimePoint) override
    {
        return notRun(ErrorCode::Internal, "not used");
    }

    void landDelayed()
    {
        for (const auto &write : delayed_)
            write();
        delayed_.clear();
    }

private:
    Result<RowVersion> faultyWrite(const std::string &key, const std::string &value,
                                   RowVersion expected, TimePoint deadline)
    {
        if (injector_.isActive(Fault::Down))
            return notRun(ErrorCode::StoreUnavailable, "down");
        const Fault fault = injector_.takeWriteFault();
        if (fault == Fault::None)
            return table_.write(key, value, expected, deadline);
        const auto apply = [this, key, value, expected, deadline] {
            (void)table_.write(key, value, expected, deadline);
        };
        if (fault == Fault::Lose)
            apply();
        if (fault == Fault::Delay)
            delayed_.emplace_back(apply);
        return outcomeUnknown(ErrorCode::StoreUnavailable, "no answer");
    }

    MemoryTable &table_;
    Injector &injector_;
    int writes_ = 0;
    std::vector<std::function<void()>> delayed_;
};

// Counts what reaches the target. The client part keeps the contract of OnceTarget.
class CountingTarget final : public OnceTarget
{
public:
    CountingTarget(int &total, const Clock &clock, Injector *injector = nullptr)
        : total_(total)
        , clock_(clock)
        , injector_(injector)
    { }

    Result<RecordedAnswer> call(TimePoint dispatchDeadline, TimePoint) override
    {
        CHECK(clock_.now() < dispatchDeadline);
        reach(Step::BeforeDispatch);
        if (injector_ != nullptr && injector_->isActive(Fault::Refuse))
            return notRun(ErrorCode::TargetFailed, "connection refused");
        if (clock_.now() >= dispatchDeadline)
            return notRun(ErrorCode::DeadlineExceeded, "too late");
        ++calls_;
        ++total_;
        reach(Step::InCall);
        if (injector_ != nullptr && injector_->isActive(Fault::Cut))
            return outcomeUnknown(ErrorCode::ConnectionLost, "connection lost");
        reach(Step::AfterAnswer);
        return RecordedAnswer{200, "text/plain", "booked"};
    }

    int calls_ = 0;

private:
    void reach(Step step)
    {
        if (injector_ != nullptr)
            injector_->reach(step);
    }

    int &total_;
    const Clock &clock_;
    Injector *injector_;
};

// One cell: a faulty attempt through agent A, then resends through B and A.
class Trial
{
public:
    explicit Trial(const Cell &cell)
        : cell_(cell)
        , injector_(cell, world_.clock_)
    {
        injector_.race_ = [this] { resend(other_, false); };
        if (!cell.startsReleased_)
            return;
        const auto start =
            otherStore_.begin(call_.key_, call_.bodyDigest_, "earlier", call_.dispatchDeadline_);
        otherStore_.release(std::get<ClaimHold>(*start));
    }

    void run()
    {
        firstAttempt();
        const bool isNotRun = first_ && !*first_ && first_->error().execution_ == Execution::NotRun;
        if (isNotRun)
            CHECK(target_.calls_ == 0);
        injector_.heal();
        landAt(Landing::BeforeRepair);
        if (cell_.resendEarly_)
            resend(other_, false);
        const bool isAlive = first_.has_value();
        if (isAlive)
            CHECK(store_.repairPending() == 0);
        landAt(Landing::AfterRepair);
        resend(other_, isNotRun || (first_ && *first_));
        if (isAlive)
            resend(executor_, isNotRun || *first_);
        landAt(Landing::AfterResend);
        resend(other_, isNotRun || (first_ && *first_));
        CHECK(total_ <= 1);
    }

private:
    void firstAttempt()
    {
        try {
            injector_.reach(Step::BeforeInsert);
            first_ = executor_.execute(call_, target_);
        } catch (const Crashed &) { }
    }

    void landAt(Landing landing)
    {
        if (cell_.landing_ == landing)
            table_.landDelayed();
    }

    void resend(OnceExecutor &executor, bool mustSucceed)
    {
        CountingTarget target(total_, world_.clock_);
        const auto answer = executor.execute(bookingCall(world_.clock_), target);
        CHECK(total_ <= 1);
        if (answer) {
            CHECK(answer->answer_.body_ == "booked");
            CHECK(total_ == 1);
        } else {
            CHECK(!mustSucceed);
            CHECK(answer.error().execution_ == Execution::OutcomeUnknown);
        }
    }

    Cell cell_;
    ClaimWorld world_;
    Injector injector_;
    FaultyTable table_{world_.table_, injector_};
    ClaimStore store_{world_.servicesOn(table_), kLimits};
    OnceExecutor executor_{store_, world_.clock_, kLimits};
    ClaimStore otherStore_{world_.services(), kLimits};
    OnceExecutor other_{otherStore_, world_.clock_, kLimits};
    int total_ = 0;
    CountingTarget target_{total_, world_.clock_, &injector_};
    OnceCall call_ = bookingCall(world_.clock_);
    std::optional<Result<OnceAnswer>> first_;
};

void runVariants(const Event &first, const Event &second)
{
    const bool hasDelay = first.fault_ == Fault::Delay || second.fault_ == Fault::Delay;
    for (const int writes : {1, kManyWrites}) {
        for (const Landing landing :
             {Landing::BeforeRepair, Landing::AfterRepair, Landing::AfterResend}) {
            if (landing != Landing::BeforeRepair && !hasDelay)
                continue;
            for (const bool resendEarly : {false, true}) {
                for (const bool startsReleased : {false, true}) {
                    CAPTURE(writes);
                    CAPTURE(static_cast<int>(landing));
                    CAPTURE(resendEarly);
                    CAPTURE(startsReleased);
                    Trial({{first, second}, writes, landing, resendEarly, startsReleased}).run();
                }
            }
        }
    }
}

std::vector<Event> allEvents()
{
    std::vector<Event> events;
    for (int step = 0; step <= static_cast<int>(Step::Record); ++step) {
        for (int fault = 0; fault <= static_cast<int>(Fault::Cut); ++fault)
            events.push_back({static_cast<Step>(step), static_cast<Fault>(fault)});
    }
    return events;
}

// Guards against a second run of a call, an untrue not_run and an answer that a resend can't get,
// whatever fails at whatever step, alone (the other fault is none) or in pairs.
TEST_CASE("fault matrix of a claimed call")
{
    for (const Event &first : allEvents()) {
        for (const Event &second : allEvents()) {
            if (second.step_ < first.step_)
                continue;
            CAPTURE(kStepNames[static_cast<int>(first.step_)]);
            CAPTURE(kFaultNames[static_cast<int>(first.fault_)]);
            CAPTURE(kStepNames[static_cast<int>(second.step_)]);
            CAPTURE(kFaultNames[static_cast<int>(second.fault_)]);
            runVariants(first, second);
        }
    }
}

struct ExecutorWorld : ClaimWorld
{
    ClaimStore store_{services(), kLimits};
    OnceExecutor executor_{store_, clock_, kLimits};
    int total_ = 0;
    CountingTarget target_{total_, clock_};
};

// Guards against refusals whose code or execution state misleads the caller.
TEST_CASE("refusals are typed")
{
    struct Case
    {
        const char *name_;
        std::function<void(ExecutorWorld &, OnceCall &)> prepare_;
        ErrorCode code_;
        Execution execution_;
        bool hasRetryAt_;
    };
    const Case cases[] = {
        {"key missing", [](ExecutorWorld &, OnceCall &call) { call.key_.idempotencyKey_ = ""; },
         ErrorCode::IdempotencyKeyMissing, Execution::NotRun, false},
        {"key too long",
         [](ExecutorWorld &, OnceCall &call) { call.key_.idempotencyKey_.assign(256, 'k'); },
         ErrorCode::BadRequest, Execution::NotRun, false},
        {"key reused",
         [](ExecutorWorld &world, OnceCall &call) {
             REQUIRE(world.executor_.execute(call, world.target_));
             call.bodyDigest_ = sha256Hex("slot 8");
         },
         ErrorCode::IdempotencyKeyReused, Execution::NotRun, false},
        {"unresolved",
         [](ExecutorWorld &world, OnceCall &call) {
             REQUIRE(world.store_.begin(call.key_, call.bodyDigest_, "x", TimePoint::max()));
         },
         ErrorCode::ClaimUnresolved, Execution::OutcomeUnknown, false},
        {"unreadable row",
         [](ExecutorWorld &world, OnceCall &call) {
             REQUIRE(world.table_.write(call.key_.row(), "{}", kAbsent, TimePoint::max()));
         },
         ErrorCode::Internal, Execution::OutcomeUnknown, false},
        {"store down",
         [](ExecutorWorld &world, OnceCall &) { world.table_.setFault(TableFault::Down); },
         ErrorCode::StoreUnavailable, Execution::NotRun, true},
        {"too late",
         [](ExecutorWorld &world, OnceCall &) { world.clock_.advance(std::chrono::hours(1)); },
         ErrorCode::DeadlineExceeded, Execution::NotRun, false},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        ExecutorWorld world;
        OnceCall call = bookingCall(world.clock_);
        c.prepare_(world, call);
        const int before = world.total_;
        const auto answer = world.executor_.execute(call, world.target_);
        REQUIRE(!answer);
        CHECK(answer.error().code_ == c.code_);
        CHECK(answer.error().execution_ == c.execution_);
        CHECK(answer.error().retryAt_.has_value() == c.hasRetryAt_);
        CHECK(world.total_ == before);
    }
}

// Guards against a claim left unresolved because one write of the record failed.
TEST_CASE("recording is tried again while the store is slow")
{
    ExecutorWorld world;
    int records = 0;
    world.table_.setBeforeWrite([&](const std::string &) {
        records += world.total_;
        world.table_.setFault(records == 1 || records == 2 ? TableFault::DropWrite
                                                           : TableFault::None);
    });
    CHECK(world.executor_.execute(bookingCall(world.clock_), world.target_)->isRecorded_);
    CHECK(records == 3);
}

// Guards against a caller left without its answer, or a rerun, when the record can't be written.
TEST_CASE("an answer that can't be recorded is given, and recorded later")
{
    ExecutorWorld world;
    const OnceCall call = bookingCall(world.clock_);
    world.table_.setBeforeWrite([&world](const std::string &) {
        if (world.total_ == 1)
            world.table_.setFault(TableFault::Down);
    });
    const auto answer = world.executor_.execute(call, world.target_);
    REQUIRE(answer);
    CHECK(!answer->isRecorded_);
    CHECK(world.store_.repairPending() == 1);
    world.table_.setBeforeWrite(nullptr);
    world.table_.setFault(TableFault::None);
    ClaimStore otherStore(world.services(), kLimits);
    OnceExecutor other(otherStore, world.clock_, kLimits);
    const OnceCall again = bookingCall(world.clock_);
    CHECK(other.execute(again, world.target_).error().code_ == ErrorCode::ClaimUnresolved);
    CHECK(world.executor_.execute(again, world.target_)->isReplay_);
    CHECK(world.store_.repairPending() == 0);
    CHECK(other.execute(again, world.target_)->isReplay_);
    CHECK(world.total_ == 1);
}

} // namespace
} // namespace foxtailturn
