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

bool isWriteFault(Fault fault)
{
    return fault == Fault::Lose || fault == Fault::Drop || fault == Fault::Delay;
}

// Runs all variants of a scenario with these two faults, leaving out those in which a parameter has
// no effect.
void runVariants(const Event &first, const Event &second)
{
    const bool hasDelay = first.fault_ == Fault::Delay || second.fault_ == Fault::Delay;
    const bool hasWriteFault = isWriteFault(first.fault_) || isWriteFault(second.fault_);
    for (const int writes : {1, kManyWrites}) {
        for (const Landing landing :
             {Landing::BeforeRepair, Landing::AfterRepair, Landing::AfterResend}) {
            if ((landing != Landing::BeforeRepair && !hasDelay) || (writes != 1 && !hasWriteFault))
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

// Guards against a call that runs twice, a not_run reported for a call that ran, and an answer that
// resends don't get. Injects every fault at every step, alone (the other fault is none) and in
// pairs.
TEST_CASE("fault matrix of a claimed call")
{
    for (const Event &first : allEvents()) {
        for (const Event &second : allEvents()) {
            // A single fault is tested once, as the first of the pair.
            const bool isAlone = second.fault_ == Fault::None;
            if (second.step_ < first.step_ || (isAlone && second.step_ != first.step_)
                || (first.fault_ == Fault::None && !isAlone))
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
