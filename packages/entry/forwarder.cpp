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

PlacementRequest toPlacementRequest(const RequestContext &context, const std::string &dataCentre)
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

Error missingHeadError()
{
    return {ErrorCode::TargetFailed, Execution::OutcomeUnknown, "answer ended without a head"};
}

} // namespace

Forwarder::Forwarder(const Clock &clock, Router &router, TargetDirectory &directory,
                     AgentLinks &links, StreamWatchdog &watchdog, RetryGuard &retryGuard,
                     std::string dataCentre,
                     std::function<std::string(const std::string &)> incarnationOf)
    : clock_(&clock)
    , router_(&router)
    , directory_(&directory)
    , links_(&links)
    , watchdog_(&watchdog)
    , retryGuard_(&retryGuard)
    , dataCentre_(std::move(dataCentre))
    , incarnationOf_(std::move(incarnationOf))
{ }

Result<AnswerStream> Forwarder::open(RequestContext &context, const RequestCheck &checkRequest)
{
    AttemptHistory history;
    return openWithRetries(context, history, checkRequest);
}

Result<FetchedAnswer> Forwarder::fetch(RequestContext &context, const RequestCheck &checkRequest)
{
    AttemptHistory history;
    for (;;) {
        Result<AnswerStream> answer = openWithRetries(context, history, checkRequest);
        if (!answer)
            return tl::unexpected(answer.error());
        history.target_ = answer->placement_->target().name_;
        Result<FetchedAnswer> fetched = collect(*std::move(answer), checkRequest);
        if (fetched)
            return fetched;
        const Result<void> prepared = prepareRetry(context, history, fetched.error());
        if (!prepared)
            return tl::unexpected(prepared.error());
    }
}

Result<AnswerStream> Forwarder::openWithRetries(RequestContext &context, AttemptHistory &history,
                                                const RequestCheck &checkRequest)
{
    for (;;) {
        Result<AnswerStream> answer = attempt(context, history, checkRequest);
        if (answer)
            return answer;
        const Result<void> prepared = prepareRetry(context, history, answer.error());
        if (!prepared)
            return tl::unexpected(prepared.error());
    }
}

Result<AnswerStream> Forwarder::attempt(RequestContext &context, AttemptHistory &history,
                                        const RequestCheck &checkRequest)
{
    Result<AnswerStream> answer = startAttempt(context, history);
    if (!answer)
        return answer;
    for (;;) {
        StreamEvent event = answer->stream_->next();
        if (event.kind_ == StreamEvent::Kind::Head) {
            answer->head_ = event.head_;
            return answer;
        }
        if (event.kind_ != StreamEvent::Kind::Progress)
            return tl::unexpected(event.failure_ ? *event.failure_ : missingHeadError());
        const Result<void> allowed = checkRequest();
        if (!allowed)
            return tl::unexpected(allowed.error());
    }
}

Result<void> Forwarder::prepareRetry(RequestContext &context, AttemptHistory &history,
                                     const Error &failure)
{
    // No target was available, so nothing was sent this time; the execution state depends on the
    // earlier attempts.
    if (failure.code_ == ErrorCode::NoTarget) {
        Error error = failure;
        error.execution_ = combinedExecution(history.execution_, failure.execution_);
        return tl::unexpected(error);
    }
    reportFailure(context, history.target_, failure);
    const Result<TimePoint> retryAt = retryGuard_->decide(context, failure, history.execution_);
    if (!retryAt)
        return tl::unexpected(retryAt.error());
    history.execution_ = combinedExecution(history.execution_, failure.execution_);
    kLog.info(concat("retrying a failed attempt, request=", context.request_.id_,
                     " attempt=", history.number_, " code=", errorName(failure.code_)));
    std::this_thread::sleep_for(*retryAt - clock_->now());
    return failure.code_ == ErrorCode::TargetCrashed ? retryGuard_->readmit(context)
                                                     : Result<void>{};
}

Result<AnswerStream> Forwarder::startAttempt(const RequestContext &context, AttemptHistory &history)
{
    Result<Placement> placement =
        router_->choose(toPlacementRequest(context, dataCentre_), history.triedTargets_);
    if (!placement)
        return tl::unexpected(placement.error());
    const TargetInfo target = placement->target();
    history.target_ = target.name_;
    history.triedTargets_.insert(target.name_);
    ++history.number_;
    AnswerStream answer;
    answer.placement_ = std::make_unique<Placement>(*std::move(placement));
    answer.link_ = links_->get(target.address_);
    wire::ExecuteRequest request = toWire(context, history.number_);
    request.set_incarnation(incarnationOf_(target.name_));
    answer.stream_ = std::make_unique<FrameStream>(*answer.link_, *watchdog_, *clock_,
                                                   std::move(request), context.deadline_);
    return answer;
}

Result<FetchedAnswer> Forwarder::collect(AnswerStream answer, const RequestCheck &checkRequest)
{
    FetchedAnswer fetched;
    fetched.head_ = answer.head_;
    while (fetched.body_.size() <= kMaxCollectedBytes) {
        StreamEvent event = answer.stream_->next();
        if (event.kind_ == StreamEvent::Kind::Data)
            fetched.body_.append(event.data_);
        if (event.kind_ == StreamEvent::Kind::Failure)
            return tl::unexpected(*event.failure_);
        if (event.kind_ == StreamEvent::Kind::End) {
            fetched.usedTokens_ = event.usedTokens_;
            return fetched;
        }
        const Result<void> allowed = checkRequest();
        if (!allowed)
            return tl::unexpected(allowed.error());
    }
    fetched.rest_.emplace(std::move(answer));
    return fetched;
}

void Forwarder::reportFailure(const RequestContext &context, const std::string &target,
                              const Error &error)
{
    if (error.code_ == ErrorCode::TargetDraining)
        directory_->markDraining(target);
    if (isTargetDown(error))
        directory_->markUnreachable(target);
    if (error.code_ == ErrorCode::TargetCrashed)
        retryGuard_->reportCrash(context, target);
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
