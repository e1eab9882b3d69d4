#pragma once

// Runs a non-idempotent call at most once in the fleet.
//
//     OnceExecutor executor(store, clock, limits);
//     const OnceCall call{{workspace, route, header}, sha256Hex(body), dispatchBy, answerBy};
//     Result<OnceAnswer> answer = executor.execute(call, target);
//
// Order of the steps: claim the key, check the dispatch deadline, call the target, record the
// answer. A crash after the claim leaves the key unresolved: the call is not run again unless an
// operator settles the claim as not run.

#include "base/clock.h"
#include "base/error.h"
#include "claims/claim_store.h"

namespace foxtailturn {

// Client for one call to the target; created for this call with its method, path, headers and
// body.
class OnceTarget
{
public:
    virtual ~OnceTarget() = default;

    // Sends the request once, without any retry, and returns the complete answer, whatever its
    // HTTP status. Must check dispatchDeadline again after connecting, immediately before
    // the first byte is sent, and return by answerDeadline. Errors: NotRun only if no byte of the
    // request was sent (for example connection refused); otherwise OutcomeUnknown. Called by one
    // thread.
    [[nodiscard]] virtual Result<RecordedAnswer> call(TimePoint dispatchDeadline,
                                                      TimePoint answerDeadline) = 0;
};

struct OnceCall
{
    ClaimKey key_;
    std::string bodyDigest_; // sha256Hex() of everything that must be equal in a resend
    TimePoint
        dispatchDeadline_; // the earlier of the caller's deadline and that of the agent's lease
    TimePoint answerDeadline_;

    bool operator==(const OnceCall &) const = default;
};

struct OnceAnswer
{
    RecordedAnswer answer_;
    bool isReplay_ = false; // whether this is the recorded answer of an earlier attempt
    bool isRecorded_ = true; // false: a resend gets outcome_unknown until the record is written

    bool operator==(const OnceAnswer &) const = default;
};

// Thread-safe; one object serves all calls of an agent.
class OnceExecutor
{
public:
    // Maximum length of an idempotency key in bytes; limits the length of row keys.
    static constexpr std::size_t kMaxIdempotencyKey = 255;

    // store and clock must outlive the executor.
    OnceExecutor(ClaimStore &store, const Clock &clock, const ClaimLimits &limits);

    // Runs the call or replays its answer. Blocks until done. Both deadlines are limited to
    // ClaimLimits::attemptTimeout_ from now. Errors, besides those of ClaimStore::begin() and of
    // the target: IdempotencyKeyMissing and BadRequest (NotRun) for an unusable key;
    // DeadlineExceeded (NotRun) if the dispatch deadline passed before the call. Thread-safe.
    [[nodiscard]] Result<OnceAnswer> execute(const OnceCall &call, OnceTarget &target);

private:
    [[nodiscard]] Result<OnceAnswer> dispatch(const HeldClaim &held, const OnceCall &call,
                                              OnceTarget &target);

    ClaimStore &store_;
    const Clock &clock_;
    ClaimLimits limits_;
};

} // namespace foxtailturn
