#pragma once

// Sends a request to a target and reads its answer; retries on other targets while that is safe.
//
//     Result<OpenAnswer> answer = forwarder.open(context, isLive);      // returns at the head
//     Result<WholeAnswer> answer = forwarder.fetch(context, isLive);    // returns at the end

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
using LiveCheck = std::function<Result<void>()>;

// An attempt whose answer head has arrived.
struct OpenAnswer
{
    std::unique_ptr<Placement> placement_; // counts the request as in flight at its target
    std::shared_ptr<AgentLink> link_;
    std::unique_ptr<FrameStream> stream_;
    StreamHead head_;
};

struct WholeAnswer
{
    StreamHead head_;
    std::string body_;
    std::uint64_t usedTokens_ = 0;

    bool operator==(const WholeAnswer &) const = default;
};

// Thread-safe.
class Forwarder
{
public:
    // All references must outlive the forwarder. incarnationOf returns the incarnation of a
    // target's agent as of its last heartbeat.
    Forwarder(const Clock &clock, Router &router, TargetDirectory &directory, AgentLinks &links,
              StreamWatchdog &watchdog, RetryGuard &retries, std::string dataCentre,
              std::function<std::string(const std::string &)> incarnationOf);

    // Returns an answer whose head has arrived. Errors: those of the last attempt. Thread-safe.
    [[nodiscard]] Result<OpenAnswer> open(RequestContext &context, const LiveCheck &isLive);

    // Returns a complete answer. Errors: as open(). Thread-safe.
    [[nodiscard]] Result<WholeAnswer> fetch(RequestContext &context, const LiveCheck &isLive);

    // Reports a failed attempt to the target directory and the retry guard. Thread-safe.
    void noteFailure(const RequestContext &context, const std::string &target, const Error &error);

private:
    struct Attempts
    {
        std::uint32_t number_ = 0;
        std::string target_; // name of the last attempt's target
        std::set<std::string> tried_; // names of targets
        Execution execution_ = Execution::NotRun; // combined state of all attempts
    };

    [[nodiscard]] Result<OpenAnswer> start(const RequestContext &context, Attempts &attempts);
    [[nodiscard]] Result<OpenAnswer> attempt(RequestContext &context, Attempts &attempts,
                                             const LiveCheck &isLive);
    [[nodiscard]] Result<OpenAnswer> openWithRetries(RequestContext &context, Attempts &attempts,
                                                     const LiveCheck &isLive);
    [[nodiscard]] Result<WholeAnswer> collect(OpenAnswer &answer, const LiveCheck &isLive);
    // Handles a failed attempt: blocks until the next one may start, or returns the error for the
    // caller.
    [[nodiscard]] Result<void> prepareRetry(RequestContext &context, Attempts &attempts,
                                            const Error &failure);
    [[nodiscard]] wire::ExecuteRequest toWire(const RequestContext &context,
                                              std::uint32_t attempt) const;

    const Clock *clock_;
    Router *router_;
    TargetDirectory *directory_;
    AgentLinks *links_;
    StreamWatchdog *watchdog_;
    RetryGuard *retries_;
    std::string dataCentre_;
    std::function<std::string(const std::string &)> incarnationOf_;
};

} // namespace foxtailturn
