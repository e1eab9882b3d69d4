#include "entry/forwarder.h"

#include <algorithm>
#include <string_view>
#include <thread>
#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace foxtailturn {

namespace {

const Logger kLog("forwarder");

// Prompts shorter than this gain little from an engine's prefix cache.
constexpr std::size_t kMinAffinityBytes = 4'096;
constexpr std::size_t kAffinityPrefixBytes = 2'048;
constexpr std::string_view kContentType = "content-type";

PlacementRequest toPlacement(const RequestContext &context, const std::string &dataCentre)
{
    PlacementRequest request;
    request.group_ = context.route_->targetGroup_;
    request.dataCentre_ = dataCentre;
    request.priority_ =
        context.route_->priority_ == PriorityClass::Batch ? Priority::Batch : Priority::Chat;
    if (context.adapter_ != nullptr) {
        request.adapter_ = {context.adapter_->adapter_, std::to_string(context.adapter_->version_)};
        if (context.targetBody_.size() >= kMinAffinityBytes)
            request.prefixHint_ = hash64(context.targetBody_.substr(0, kAffinityPrefixBytes));
    }
    return request;
}

// Returns whether other requests should avoid the target until it reports again.
bool isTargetDown(const Error &error)
{
    return error.code_ == ErrorCode::ConnectionLost || error.code_ == ErrorCode::TargetCrashed;
}

Error unexpectedEnd()
{
    return {ErrorCode::TargetFailed, Execution::OutcomeUnknown, "answer ended without a head"};
}

} // namespace

Forwarder::Forwarder(const Clock &clock, Router &router, TargetDirectory &directory,
                     AgentLinks &links, StreamWatchdog &watchdog, RetryGuard &retries,
                     std::string dataCentre,
                     std::function<std::string(const std::string &)> incarnationOf)
    : clock_(&clock)
    , router_(&router)
    , directory_(&directory)
    , links_(&links)
    , watchdog_(&watchdog)
    , retries_(&retries)
    , dataCentre_(std::move(dataCentre))
    , incarnationOf_(std::move(incarnationOf))
{ }

Result<OpenAnswer> Forwarder::open(RequestContext &context, const LiveCheck &isLive)
{
    Attempts attempts;
    return openWithRetries(context, attempts, isLive);
}

Result<WholeAnswer> Forwarder::fetch(RequestContext &context, const LiveCheck &isLive)
{
    Attempts attempts;
    for (;;) {
        Result<OpenAnswer> answer = openWithRetries(context, attempts, isLive);
        if (!answer)
            return tl::unexpected(answer.error());
        Result<WholeAnswer> whole = collect(*answer, isLive);
        if (whole)
            return whole;
        attempts.target_ = answer->placement_->target().name_;
        const Result<void> prepared = prepareRetry(context, attempts, whole.error());
        if (!prepared)
            return tl::unexpected(prepared.error());
    }
}

Result<OpenAnswer> Forwarder::openWithRetries(RequestContext &context, Attempts &attempts,
                                              const LiveCheck &isLive)
{
    for (;;) {
        Result<OpenAnswer> answer = attempt(context, attempts, isLive);
        if (answer)
            return answer;
        const Result<void> prepared = prepareRetry(context, attempts, answer.error());
        if (!prepared)
            return tl::unexpected(prepared.error());
    }
}

Result<OpenAnswer> Forwarder::attempt(RequestContext &context, Attempts &attempts,
                                      const LiveCheck &isLive)
{
    Result<OpenAnswer> answer = start(context, attempts);
    if (!answer)
        return answer;
    for (;;) {
        StreamEvent event = answer->stream_->next();
        if (event.kind_ == StreamEvent::Kind::Head) {
            answer->head_ = event.head_;
            return answer;
        }
        if (event.kind_ != StreamEvent::Kind::Progress)
            return tl::unexpected(event.failure_ ? *event.failure_ : unexpectedEnd());
        const Result<void> live = isLive();
        if (!live)
            return tl::unexpected(live.error());
    }
}

Result<void> Forwarder::prepareRetry(RequestContext &context, Attempts &attempts,
                                     const Error &failure)
{
    // No target was available, so nothing was sent this time; the execution state depends on the
    // earlier attempts.
    if (failure.code_ == ErrorCode::NoTarget) {
        Error error = failure;
        error.execution_ = combinedExecution(attempts.execution_, failure.execution_);
        return tl::unexpected(error);
    }
    noteFailure(context, attempts.target_, failure);
    const Result<TimePoint> retryAt = retries_->decide(context, failure, attempts.execution_);
    if (!retryAt)
        return tl::unexpected(retryAt.error());
    attempts.execution_ = combinedExecution(attempts.execution_, failure.execution_);
    kLog.info(concat("retrying a failed attempt, request=", context.request_.id_,
                     " attempt=", attempts.number_, " code=", errorName(failure.code_)));
    std::this_thread::sleep_for(*retryAt - clock_->now());
    return failure.code_ == ErrorCode::TargetCrashed ? retries_->readmit(context) : Result<void>{};
}

Result<OpenAnswer> Forwarder::start(const RequestContext &context, Attempts &attempts)
{
    Result<Placement> placement =
        router_->choose(toPlacement(context, dataCentre_), attempts.tried_);
    if (!placement)
        return tl::unexpected(placement.error());
    const TargetInfo target = placement->target();
    attempts.target_ = target.name_;
    attempts.tried_.insert(target.name_);
    ++attempts.number_;
    OpenAnswer answer;
    answer.placement_ = std::make_unique<Placement>(*std::move(placement));
    answer.link_ = links_->get(target.address_);
    wire::ExecuteRequest request = toWire(context, attempts.number_);
    request.set_incarnation(incarnationOf_(target.name_));
    answer.stream_ = std::make_unique<FrameStream>(*answer.link_, *watchdog_, *clock_,
                                                   std::move(request), context.deadline_);
    return answer;
}

Result<WholeAnswer> Forwarder::collect(OpenAnswer &answer, const LiveCheck &isLive)
{
    WholeAnswer whole;
    whole.head_ = answer.head_;
    for (;;) {
        StreamEvent event = answer.stream_->next();
        if (event.kind_ == StreamEvent::Kind::Data)
            whole.body_.append(event.data_);
        if (event.kind_ == StreamEvent::Kind::Failure)
            return tl::unexpected(*event.failure_);
        if (event.kind_ == StreamEvent::Kind::End) {
            whole.usedTokens_ = event.usedTokens_;
            return whole;
        }
        const Result<void> live = isLive();
        if (!live)
            return tl::unexpected(live.error());
    }
}

void Forwarder::noteFailure(const RequestContext &context, const std::string &target,
                            const Error &error)
{
    if (error.code_ == ErrorCode::TargetDraining)
        directory_->refusedAsDraining(target);
    if (isTargetDown(error))
        directory_->connectionFailed(target);
    if (error.code_ == ErrorCode::TargetCrashed)
        retries_->targetCrashed(context, target);
}

wire::ExecuteRequest Forwarder::toWire(const RequestContext &context, std::uint32_t attempt) const
{
    wire::ExecuteRequest request;
    request.set_request_id(context.request_.id_);
    request.set_attempt(attempt);
    if (context.workspace_ != nullptr) {
        request.set_workspace(context.workspace_->id_);
        request.set_weight(static_cast<std::uint32_t>(context.workspace_->weight_));
    }
    request.set_route(context.route_->id_);
    request.set_method(context.request_.method_);
    request.set_path(context.targetPath_);
    const auto contentType = context.request_.headers_.find(kContentType);
    if (contentType != context.request_.headers_.end())
        request.set_content_type(contentType->second);
    request.set_body(context.targetBody_);
    request.set_repeatable(context.route_->repeatable_);
    request.set_idempotency_key(context.idempotencyKey_);
    request.set_batch(context.route_->priority_ == PriorityClass::Batch);
    request.set_solo(context.solo_);
    request.set_fingerprint(context.fingerprint_);
    if (context.adapter_ != nullptr) {
        wire::Adapter &adapter = *request.mutable_adapter();
        adapter.set_id(context.adapter_->adapter_);
        adapter.set_version(static_cast<std::uint64_t>(context.adapter_->version_));
        adapter.set_base_model(context.adapter_->baseModel_);
        adapter.set_object(context.adapter_->object_);
    }
    return request;
}

} // namespace foxtailturn
