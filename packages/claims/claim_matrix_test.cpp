#include <optional>
#include <vector>

#include <doctest/doctest.h>

#include "claims/claims_fault_testing.h"
#include "claims/claims_testing.h"

namespace foxtailturn {
namespace {

const ClaimLimits kLimits;

constexpr int kManyWrites = 1'000;
const char *const kStepNames[] = {"before insert",   "insert",  "after insert",
                                  "before dispatch", "in call", "after answer",
                                  "record"};
const char *const kFaultNames[] = {
    "none",           "crash",          "pause", "store down", "lost answers",
    "dropped writes", "delayed writes", "race",  "refused",    "cut"};

// Runs one scenario: an attempt with faults on agent A, then resends through agents B and A.
class ScenarioRunner
{
public:
    explicit ScenarioRunner(const FaultScenario &scenario)
        : scenario_(scenario)
        , injector_(scenario, fixture_.clock_)
    {
        injector_.onRace_ = [this] { resend(otherExecutor_, false); };
        if (!scenario.startsReleased_)
            return;
        const auto start =
            otherStore_.begin(call_.key_, call_.bodyDigest_, "earlier", call_.dispatchDeadline_);
        otherStore_.release(std::get<HeldClaim>(*start));
    }

    void run()
    {
        firstAttempt();
        const bool isNotRun =
            firstResult_ && !*firstResult_ && firstResult_->error().execution_ == Execution::NotRun;
        if (isNotRun)
            CHECK(target_.calls_ == 0);
        injector_.clearFaults();
        applyDelayedWritesAt(DelayedWriteTime::BeforeRepair);
        if (scenario_.resendBeforeRepair_)
            resend(otherExecutor_, false);
        const bool isAlive = firstResult_.has_value();
        if (isAlive)
            CHECK(store_.repairPending() == 0);
        applyDelayedWritesAt(DelayedWriteTime::AfterRepair);
        resend(otherExecutor_, isNotRun || (firstResult_ && *firstResult_));
        if (isAlive)
            resend(executor_, isNotRun || *firstResult_);
        applyDelayedWritesAt(DelayedWriteTime::AfterResend);
        resend(otherExecutor_, isNotRun || (firstResult_ && *firstResult_));
        CHECK(totalCalls_ <= 1);
    }

private:
    void firstAttempt()
    {
        try {
            injector_.reachStep(Step::BeforeInsert);
            firstResult_ = executor_.execute(call_, target_);
        } catch (const SimulatedCrash &) { }
    }

    void applyDelayedWritesAt(DelayedWriteTime delayedWriteTime)
    {
        if (scenario_.delayedWriteTime_ == delayedWriteTime)
            table_.applyDelayedWrites();
    }

    void resend(OnceExecutor &executor, bool mustSucceed)
    {
        CountingTarget target(totalCalls_, fixture_.clock_);
        const auto answer = executor.execute(bookingCall(fixture_.clock_), target);
        CHECK(totalCalls_ <= 1);
        if (answer) {
            CHECK(answer->answer_.body_ == "booked");
            CHECK(totalCalls_ == 1);
        } else {
            CHECK(!mustSucceed);
            CHECK(answer.error().execution_ == Execution::OutcomeUnknown);
        }
    }

    FaultScenario scenario_;
    ClaimFixture fixture_;
    FaultInjector injector_;
    FaultyTable table_{fixture_.table_, injector_};
    ClaimStore store_{fixture_.servicesOn(table_), kLimits};
    OnceExecutor executor_{store_, fixture_.clock_, kLimits};
    ClaimStore otherStore_{fixture_.services(), kLimits};
    OnceExecutor otherExecutor_{otherStore_, fixture_.clock_, kLimits};
    int totalCalls_ = 0;
    CountingTarget target_{totalCalls_, fixture_.clock_, &injector_};
    OnceCall call_ = bookingCall(fixture_.clock_);
    std::optional<Result<OnceAnswer>> firstResult_;
};

bool isWriteFault(Fault fault)
{
    return fault == Fault::LoseAnswer || fault == Fault::DropWrite || fault == Fault::DelayWrite;
}

// Runs all variants of a scenario with these two faults, leaving out those in which a parameter has
// no effect.
void runVariants(const FaultAtStep &first, const FaultAtStep &second)
{
    const bool hasDelay = first.fault_ == Fault::DelayWrite || second.fault_ == Fault::DelayWrite;
    const bool hasWriteFault = isWriteFault(first.fault_) || isWriteFault(second.fault_);
    for (const int writes : {1, kManyWrites}) {
        for (const DelayedWriteTime delayedWriteTime :
             {DelayedWriteTime::BeforeRepair, DelayedWriteTime::AfterRepair,
              DelayedWriteTime::AfterResend}) {
            if ((delayedWriteTime != DelayedWriteTime::BeforeRepair && !hasDelay)
                || (writes != 1 && !hasWriteFault))
                continue;
            for (const bool resendBeforeRepair : {false, true}) {
                for (const bool startsReleased : {false, true}) {
                    CAPTURE(writes);
                    CAPTURE(static_cast<int>(delayedWriteTime));
                    CAPTURE(resendBeforeRepair);
                    CAPTURE(startsReleased);
                    ScenarioRunner({{first, second},
                                    writes,
                                    delayedWriteTime,
                                    resendBeforeRepair,
                                    startsReleased})
                        .run();
                }
            }
        }
    }
}

std::vector<FaultAtStep> allFaults()
{
    std::vector<FaultAtStep> faults;
    for (int step = 0; step <= static_cast<int>(Step::Record); ++step) {
        for (int fault = 0; fault <= static_cast<int>(Fault::CutConnection); ++fault)
            faults.push_back({static_cast<Step>(step), static_cast<Fault>(fault)});
    }
    return faults;
}

// Guards against a call that runs twice, a not_run reported for a call that ran, and an answer that
// resends don't get. Injects every fault at every step, alone (the other fault is none) and in
// pairs.
TEST_CASE("fault matrix of a claimed call")
{
    for (const FaultAtStep &first : allFaults()) {
        for (const FaultAtStep &second : allFaults()) {
            // A single fault is tested once, as the first of the pair.
            const bool isSingleFault = second.fault_ == Fault::None;
            if (second.step_ < first.step_ || (isSingleFault && second.step_ != first.step_)
                || (first.fault_ == Fault::None && !isSingleFault))
                continue;
            CAPTURE(kStepNames[static_cast<int>(first.step_)]);
            CAPTURE(kFaultNames[static_cast<int>(first.fault_)]);
            CAPTURE(kStepNames[static_cast<int>(second.step_)]);
            CAPTURE(kFaultNames[static_cast<int>(second.fault_)]);
            runVariants(first, second);
        }
    }
}

} // namespace
} // namespace foxtailturn
