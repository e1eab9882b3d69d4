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
enum class Fault { None, Crash, Pause, Down, Lose, Drop, Delay, Race, Refuse, Cut };
enum class Landing { BeforeRepair, AfterRepair, AfterResend };

// A fault and the step from which it is active.
struct Event
{
    Step step_ = Step::BeforeInsert;
    Fault fault_ = Fault::None;
};

struct Cell
{
    std::array<Event, 2> events_;
    int writes_ = 1; // number of writes affected by a write fault
    Landing landing_ = Landing::BeforeRepair; // when delayed writes take effect
    bool resendEarly_ = false; // another agent receives a resend before repairPending()
    bool startsReleased_ = false; // an earlier attempt left a Released row
};

struct Crashed
{ };

// Activates the faults of the scenario when the attempt under test reaches their steps.
class Injector
{
public:
    Injector(const Cell &cell, ManualClock &clock)
        : events_(cell.events_)
        , writesLeft_(cell.writes_)
        , clock_(clock)
    { }

    // inWrite: whether the step is a table write. A crash then comes after the write call.
    void reach(Step step, bool inWrite = false)
    {
        for (Event &event : events_) {
            if (event.step_ == step)
                fire(std::exchange(event.fault_, Fault::None), inWrite);
        }
    }

    [[nodiscard]] bool isActive(Fault fault) const { return active_.count(fault) != 0; }

    // Returns the fault that applies to the next write.
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

// Forwards the calls of the agent under test to the table and applies the active faults.
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

// Counts the calls that reach the target, and fulfils the contract of OnceTarget.
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

} // namespace foxtailturn
