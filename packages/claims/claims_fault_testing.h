#pragma once

// Injects faults at the steps of a claimed call, for this package's tests.

#include <array>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "claims/once_executor.h"
#include "storage/memory_platform.h"

namespace foxtailturn {

enum class Step { BeforeInsert, Insert, AfterInsert, BeforeDispatch, InCall, AfterAnswer, Record };
enum class Fault {
    None,
    Crash,
    Pause,
    StoreDown,
    LoseAnswer,
    DropWrite,
    DelayWrite,
    RacingAttempt,
    RefuseConnection,
    CutConnection
};
enum class DelayedWriteTime { BeforeRepair, AfterRepair, AfterResend };

// A fault and the step from which it is active.
struct FaultAtStep
{
    Step step_ = Step::BeforeInsert;
    Fault fault_ = Fault::None;
};

struct FaultScenario
{
    std::array<FaultAtStep, 2> faults_;
    int writes_ = 1; // number of writes affected by a write fault
    DelayedWriteTime delayedWriteTime_ =
        DelayedWriteTime::BeforeRepair; // when delayed writes take effect
    bool resendBeforeRepair_ = false; // another agent receives a resend before repairPending()
    bool startsReleased_ = false; // an earlier attempt left a Released row
};

struct SimulatedCrash
{ };

// Activates the faults of the scenario when the attempt under test reaches their steps.
class FaultInjector
{
public:
    FaultInjector(const FaultScenario &scenario, ManualClock &clock)
        : faults_(scenario.faults_)
        , writesLeft_(scenario.writes_)
        , clock_(clock)
    { }

    // inWrite: whether the step is a table write. A crash then comes after the write call.
    void reachStep(Step step, bool inWrite = false)
    {
        for (FaultAtStep &event : faults_) {
            if (event.step_ == step)
                inject(std::exchange(event.fault_, Fault::None), inWrite);
        }
    }

    [[nodiscard]] bool isActive(Fault fault) const { return active_.count(fault) != 0; }

    // Returns the fault that applies to the next write.
    Fault takeWriteFault()
    {
        for (const Fault fault : {Fault::LoseAnswer, Fault::DropWrite, Fault::DelayWrite}) {
            if (isActive(fault))
                return writesLeft_-- > 0 ? fault : Fault::None;
        }
        return Fault::None;
    }

    void clearFaults()
    {
        faults_ = {};
        active_.clear();
    }

    std::function<void()> onRace_;

private:
    void inject(Fault fault, bool inWrite)
    {
        active_.insert(fault);
        if (fault == Fault::Crash && !inWrite)
            throw SimulatedCrash();
        if (fault == Fault::Pause)
            clock_.advance(std::chrono::hours(1));
        if (fault == Fault::RacingAttempt)
            onRace_();
    }

    std::array<FaultAtStep, 2> faults_;
    std::set<Fault> active_;
    int writesLeft_;
    ManualClock &clock_;
};

// Forwards the calls of the agent under test to the table and applies the active faults.
class FaultyTable final : public TableService
{
public:
    FaultyTable(MemoryTable &table, FaultInjector &injector)
        : table_(table)
        , injector_(injector)
    { }

    Result<std::optional<Row>> read(const std::string &key, TimePoint deadline) override
    {
        if (injector_.isActive(Fault::StoreDown))
            return notRun(ErrorCode::StoreUnavailable, "down");
        return table_.read(key, deadline);
    }

    Result<RowVersion> write(const std::string &key, const std::string &value, RowVersion expected,
                             TimePoint deadline) override
    {
        const bool isInsert = writes_++ == 0;
        const bool isRecord = value.find(R"("state":"done")") != std::string::npos;
        if (isInsert || isRecord)
            injector_.reachStep(isInsert ? Step::Insert : Step::Record, true);
        const Result<RowVersion> written = faultyWrite(key, value, expected, deadline);
        if (injector_.isActive(Fault::Crash))
            throw SimulatedCrash();
        if (isInsert)
            injector_.reachStep(Step::AfterInsert);
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

    void applyDelayedWrites()
    {
        for (const auto &write : delayed_)
            write();
        delayed_.clear();
    }

private:
    Result<RowVersion> faultyWrite(const std::string &key, const std::string &value,
                                   RowVersion expected, TimePoint deadline)
    {
        if (injector_.isActive(Fault::StoreDown))
            return notRun(ErrorCode::StoreUnavailable, "down");
        const Fault fault = injector_.takeWriteFault();
        if (fault == Fault::None)
            return table_.write(key, value, expected, deadline);
        const auto apply = [this, key, value, expected, deadline] {
            (void)table_.write(key, value, expected, deadline);
        };
        if (fault == Fault::LoseAnswer)
            apply();
        if (fault == Fault::DelayWrite)
            delayed_.emplace_back(apply);
        return outcomeUnknown(ErrorCode::StoreUnavailable, "no answer");
    }

    MemoryTable &table_;
    FaultInjector &injector_;
    int writes_ = 0;
    std::vector<std::function<void()>> delayed_;
};

// Counts the calls that reach the target, and fulfils the contract of OnceTarget.
class CountingTarget final : public OnceTarget
{
public:
    CountingTarget(int &totalCalls, const Clock &clock, FaultInjector *injector = nullptr)
        : totalCalls_(totalCalls)
        , clock_(clock)
        , injector_(injector)
    { }

    Result<RecordedAnswer> call(TimePoint dispatchDeadline, TimePoint) override
    {
        CHECK(clock_.now() < dispatchDeadline);
        reachStep(Step::BeforeDispatch);
        if (injector_ != nullptr && injector_->isActive(Fault::RefuseConnection))
            return notRun(ErrorCode::TargetFailed, "connection refused");
        if (clock_.now() >= dispatchDeadline)
            return notRun(ErrorCode::DeadlineExceeded, "too late");
        ++calls_;
        ++totalCalls_;
        reachStep(Step::InCall);
        if (injector_ != nullptr && injector_->isActive(Fault::CutConnection))
            return outcomeUnknown(ErrorCode::ConnectionLost, "connection lost");
        reachStep(Step::AfterAnswer);
        return RecordedAnswer{200, "text/plain", "booked"};
    }

    int calls_ = 0;

private:
    void reachStep(Step step)
    {
        if (injector_ != nullptr)
            injector_->reachStep(step);
    }

    int &totalCalls_;
    const Clock &clock_;
    FaultInjector *injector_;
};

} // namespace foxtailturn
