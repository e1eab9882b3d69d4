#pragma once

// Sends a request to a target and reads its answer; retries on other targets while that is safe.
//
//     // Returns once the head of the answer has arrived.
//     Result<AnswerStream> stream = forwarder.open(context, checkRequest);
//     // Returns the complete answer.
//     Result<CompleteAnswer> answer = forwarder.fetch(context, checkRequest);

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "entry/agent_links.h"
#include "entry/frame_stream.h"
#include "entry/request_context.h"
#include "entry/retry_guard.h"
#include "entry/stream_watchdog.h"
#include "routing/router.h"

namespace foxtailturn {

// Returns an error if the request must not continue, for example because its key was withdrawn; the
// error ends the request.
using RequestCheck = std::function<Result<void>()>;

// An attempt whose answer head has arrived.
struct AnswerStream
{
    std::unique_ptr<Placement> placement_; // counts the request as in flight at its target
    std::shared_ptr<AgentLink> link_;
    std::unique_ptr<FrameStream> stream_;
    StreamHead head_;
};

// An answer to be sent with its length, or the start of one that is too long to be collected.
struct FetchedAnswer
{
    StreamHead head_;
    std::string body_;
    std::uint64_t usedTokens_ = 0;
    std::optional<AnswerStream> rest_ = std::nullopt; // behind body_
};

// Thread-safe.
class Forwarder
{
public:
    // All references must outlive the forwarder. incarnationOf returns the incarnation of a
    // target's agent as of its last heartbeat.
    Forwarder(const Clock &clock, Router &router, TargetDirectory &directory, AgentLinks &links,
              StreamWatchdog &watchdog, RetryGuard &retryGuard, std::string dataCentre,
              std::function<std::string(const std::string &)> incarnationOf);

    // Returns an answer whose head has arrived. Errors: those of the last attempt. Thread-safe.
    [[nodiscard]] Result<AnswerStream> open(RequestContext &context,
                                            const RequestCheck &checkRequest);

    // Returns an answer, complete up to kMaxCollectedBytes. Errors: as open(). Thread-safe.
    [[nodiscard]] Result<FetchedAnswer> fetch(RequestContext &context,
                                              const RequestCheck &checkRequest);

    // Reports a failed attempt to the target directory and the retry guard. Thread-safe.
    void reportFailure(const RequestContext &context, const std::string &target,
                       const Error &error);

    static constexpr std::size_t kMaxCollectedBytes = 65'536;

private:
    struct AttemptHistory
    {
        std::uint32_t number_ = 0;
        std::string target_; // name of the last attempt's target
        std::set<std::string> triedTargets_; // names of targets
        Execution execution_ = Execution::NotRun; // combined state of all attempts
    };

    [[nodiscard]] Result<AnswerStream> startAttempt(const RequestContext &context,
                                                    AttemptHistory &history);
    [[nodiscard]] Result<AnswerStream> attempt(RequestContext &context, AttemptHistory &history,
                                               const RequestCheck &checkRequest);
    [[nodiscard]] Result<AnswerStream> openWithRetries(RequestContext &context,
                                                       AttemptHistory &history,
                                                       const RequestCheck &checkRequest);
    [[nodiscard]] Result<FetchedAnswer> collect(AnswerStream answer,
                                                const RequestCheck &checkRequest);
    // Handles a failed attempt: blocks until the next one may start, or returns the error for the
    // caller.
    [[nodiscard]] Result<void> prepareRetry(RequestContext &context, AttemptHistory &history,
                                            const Error &failure);
    [[nodiscard]] wire::ExecuteRequest toWire(const RequestContext &context,
                                              std::uint32_t attempt) const;

    const Clock *clock_;
    Router *router_;
    TargetDirectory *directory_;
    AgentLinks *links_;
    StreamWatchdog *watchdog_;
    RetryGuard *retryGuard_;
    std::string dataCentre_;
    std::function<std::string(const std::string &)> incarnationOf_;
};

} // namespace foxtailturn
