#include "agent/target_client.h"

#include <utility>

namespace foxtailturn {

namespace {

constexpr auto kHealthTimeout = std::chrono::milliseconds(300);

MessageHead headOf(const TargetRequest &request)
{
    MessageHead head;
    head.method_ = request.method_;
    head.target_ = request.path_;
    if (!request.contentType_.empty())
        head.add("Content-Type", request.contentType_);
    if (!request.idempotencyKey_.empty())
        head.add("Idempotency-Key", request.idempotencyKey_);
    if (!request.workspace_.empty())
        head.add("X-Foxtailturn-Workspace", request.workspace_);
    return head;
}

} // namespace

HttpTargetClient::HttpTargetClient(std::string host, int port, const Clock &clock)
    : exchange_(std::move(host), port, clock)
    , clock_(&clock)
{ }

Result<void> HttpTargetClient::call(const TargetRequest &request, TargetSink &sink)
{
    Result<void> done = exchange_.run(headOf(request), request.body_, request.deadline_, sink);
    const bool isBroken = !done && done.error().code_ == ErrorCode::TargetFailed
        && done.error().execution_ == Execution::OutcomeUnknown;
    if (isBroken && !isReachable())
        return outcomeUnknown(ErrorCode::TargetCrashed, "target went down during the call");
    return done;
}

bool HttpTargetClient::isReachable() const
{
    return exchange_.get("/health", clock_->now() + kHealthTimeout).has_value();
}

} // namespace foxtailturn
