#include "agent/executor.h"

#include <algorithm>
#include <utility>

#include "agent/http_engine_orders.h"
#include "agent/model_answer.h"
#include "base/hash.h"
#include "base/json_members.h"
#include "base/log.h"

namespace foxtailturn {

namespace {

const Logger kLog("executor");

// Estimated bytes per prompt token. Used only for the cost in fair scheduling.
constexpr double kBytesPerToken = 4;

AdapterId adapterOf(const wire::ExecuteRequest &request)
{
    if (!request.has_adapter())
        return {};
    return {request.adapter().id(), std::to_string(request.adapter().version())};
}

WorkRequest toWorkRequest(const wire::ExecuteRequest &request, TimePoint deadline)
{
    WorkRequest work;
    work.id_ = concat(request.request_id(), "/", request.attempt());
    work.workspace_ = request.workspace();
    work.adapter_ = adapterOf(request);
    work.priority_ = request.batch() ? Priority::Batch : Priority::Chat;
    work.cost_ = std::max(1.0, static_cast<double>(request.body().size()) / kBytesPerToken);
    work.deadline_ = deadline;
    work.exclusive_ = request.solo();
    return work;
}

TargetRequest toTargetRequest(const wire::ExecuteRequest &request, TimePoint deadline)
{
    TargetRequest target;
    target.method_ = request.method();
    target.path_ = request.path();
    target.contentType_ = request.content_type();
    target.body_ = request.body();
    target.idempotencyKey_ = request.idempotency_key();
    target.workspace_ = request.workspace();
    target.deadline_ = deadline;
    return target;
}

bool isStreaming(const std::string &body)
{
    JsonMembers members({"stream"}, JsonMembers::Others::Drop);
    const bool isObject = members.read(body);
    const Json *stream = members.find("stream");
    return isObject && stream != nullptr && *stream == true;
}

// Digest of all that must be equal in requests with the same idempotency key.
std::string requestDigest(const wire::ExecuteRequest &request)
{
    return sha256Hex(concat(request.method(), "\n", request.path(), "\n", request.content_type(),
                            "\n", request.body()));
}

// Collects the whole answer of a call that may run at most once, to be recorded for replay.
class CollectingSink final : public TargetSink
{
public:
    bool onHead(int status, const std::string &contentType) override
    {
        answer_.status_ = status;
        answer_.contentType_ = contentType;
        return true;
    }

    bool onData(std::string_view data) override
    {
        isTooLong_ = answer_.body_.size() + data.size() > HttpExchange::kMaxBufferedBytes;
        if (!isTooLong_)
            answer_.body_.append(data);
        return !isTooLong_;
    }

    [[nodiscard]] bool isTooLong() const { return isTooLong_; }
    [[nodiscard]] const RecordedAnswer &answer() const { return answer_; }

private:
    RecordedAnswer answer_;
    bool isTooLong_ = false;
};

class ClientOnceTarget final : public OnceTarget
{
public:
    ClientOnceTarget(const Clock &clock, TargetClient &client, TargetRequest request)
        : clock_(&clock)
        , client_(&client)
        , request_(std::move(request))
    { }

    Result<RecordedAnswer> call(TimePoint dispatchDeadline, TimePoint answerDeadline) override
    {
        if (clock_->now() >= dispatchDeadline)
            return notRun(ErrorCode::DeadlineExceeded, "dispatch deadline has passed");
        request_.deadline_ = answerDeadline;
        CollectingSink sink;
        const Result<void> called = client_->call(request_, sink);
        if (sink.isTooLong())
            return outcomeUnknown(ErrorCode::TargetFailed, "the answer is longer than the limit");
        if (!called)
            return tl::unexpected(called.error());
        return sink.answer();
    }

private:
    const Clock *clock_;
    TargetClient *client_;
    TargetRequest request_;
};

} // namespace

Executor::Executor(const Clock &clock, TargetClient &client, AgentScheduler &scheduler,
                   OnceExecutor &once)
    : clock_(&clock)
    , client_(&client)
    , scheduler_(&scheduler)
    , once_(&once)
{ }

Executor::RunFunction Executor::runFunctionFor(const wire::ExecuteRequest &request)
{
    if (request.has_adapter())
        return &Executor::runModel;
    return request.repeatable() ? &Executor::runService : &Executor::runOnce;
}

void Executor::run(const wire::ExecuteRequest &request, TimePoint deadline, AnswerBuffer &answer)
{
    scheduler_->setWeight(request.workspace(), std::max(1U, request.weight()));
    Result<RunPermit> permit = scheduler_->acquire(toWorkRequest(request, deadline));
    if (!permit) {
        answer.fail(permit.error());
        return;
    }
    if (answer.isCancelled()) {
        answer.fail({ErrorCode::Cancelled, Execution::NotRun, "request was cancelled"});
        return;
    }
    const Result<std::uint64_t> usedTokens =
        (this->*runFunctionFor(request))(request, deadline, answer);
    permit->release();
    if (usedTokens) {
        answer.finish(*usedTokens);
        return;
    }
    const Error &error = usedTokens.error();
    kLog.warn(concat("execution failed, request=", request.request_id(),
                     " attempt=", request.attempt(), " code=", errorName(error.code_),
                     " execution=", executionName(error.execution_)));
    answer.fail(error);
}

Result<std::uint64_t> Executor::runModel(const wire::ExecuteRequest &request, TimePoint deadline,
                                         AnswerBuffer &answer)
{
    ModelAnswerSink sink(engineModelName(adapterOf(request)), isStreaming(request.body()), answer);
    const Result<void> called = client_->call(toTargetRequest(request, deadline), sink);
    if (called) {
        Result<std::uint64_t> ended = sink.end();
        if (!ended)
            scheduler_->engineChanged();
        return ended;
    }
    if (sink.isRejected())
        return sink.end();
    scheduler_->engineChanged();
    return tl::unexpected(called.error());
}

Result<std::uint64_t> Executor::runService(const wire::ExecuteRequest &request, TimePoint deadline,
                                           AnswerBuffer &answer)
{
    ServiceAnswerSink sink(answer);
    const Result<void> called = client_->call(toTargetRequest(request, deadline), sink);
    if (!called)
        return tl::unexpected(called.error());
    return 0;
}

Result<std::uint64_t> Executor::runOnce(const wire::ExecuteRequest &request, TimePoint deadline,
                                        AnswerBuffer &answer)
{
    OnceCall call;
    call.key_ = {request.workspace(), request.route(), request.idempotency_key()};
    call.bodyDigest_ = requestDigest(request);
    call.dispatchDeadline_ = deadline;
    call.answerDeadline_ = deadline;
    ClientOnceTarget target(*clock_, *client_, toTargetRequest(request, deadline));
    const Result<OnceAnswer> done = once_->execute(call, target);
    if (!done)
        return tl::unexpected(done.error());
    answer.setHead({done->answer_.status_, done->answer_.contentType_, "", done->isReplay_});
    if (!answer.append(done->answer_.body_))
        return outcomeUnknown(ErrorCode::Cancelled, "answer was cancelled or is too large");
    return 0;
}

} // namespace foxtailturn
