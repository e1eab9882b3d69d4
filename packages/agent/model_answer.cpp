#include "agent/model_answer.h"

#include <utility>

#include "base/log.h"

namespace foxtailturn {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kMinServerError = 500;
constexpr std::size_t kMaxErrorBodyBytes = 65'536;

// An engine responds 404 for an adapter that is not loaded and 429 before it queues a request.
// Other errors, 503 included, can occur while a request is running.
bool isNotRunStatus(int status)
{
    return status == kNotFound || status == kTooManyRequests;
}

} // namespace

ModelAnswerSink::ModelAnswerSink(std::string engineName, bool streaming, AnswerBuffer &buffer)
    : engineName_(std::move(engineName))
    , buffer_(&buffer)
    , check_(engineName_, streaming)
{ }

bool ModelAnswerSink::onHead(int status, const std::string &contentType)
{
    status_ = status;
    contentType_ = contentType;
    return !buffer_->isCancelled();
}

bool ModelAnswerSink::onData(std::string_view data)
{
    if (buffer_->isCancelled())
        return false;
    if (status_ != kOk) {
        errorBodyTooLarge_ =
            errorBodyTooLarge_ || errorBody_.size() + data.size() > kMaxErrorBodyBytes;
        if (!errorBodyTooLarge_)
            errorBody_.append(data);
        return true;
    }
    const std::string released = check_.feed(data);
    if (check_.isTooLong())
        return false;
    if (check_.adapterMatch() == AdapterMatch::Mismatched)
        return false;
    return released.empty() || forward(released);
}

bool ModelAnswerSink::forward(const std::string &data)
{
    if (!headForwarded_) {
        headForwarded_ = true;
        buffer_->setHead({status_, contentType_, engineName_});
    }
    return buffer_->append(data);
}

bool ModelAnswerSink::acceptsUnstatedEnd() const
{
    const bool isErrorPassedOn =
        status_ != kOk && status_ < kMinServerError && !isNotRunStatus(status_);
    return !isErrorPassedOn;
}

Result<std::uint64_t> ModelAnswerSink::end()
{
    if (status_ != kOk)
        return endWithErrorStatus();
    if (check_.isTooLong())
        return outcomeUnknown(ErrorCode::TargetFailed,
                              "the answer, or a line of it, is longer than the limit");
    const std::string rest = check_.end();
    if (check_.adapterMatch() == AdapterMatch::Mismatched)
        return outcomeUnknown(ErrorCode::WrongAdapter, "engine did not name the adapter asked for");
    if (!check_.isComplete())
        return outcomeUnknown(ErrorCode::TargetFailed, "engine ended the answer early");
    if (!rest.empty() && !forward(rest))
        return outcomeUnknown(ErrorCode::Cancelled, "answer was cancelled or is too large");
    return check_.usedTokens();
}

Result<std::uint64_t> ModelAnswerSink::endWithErrorStatus()
{
    if (isNotRunStatus(status_))
        return notRun(ErrorCode::TargetFailed,
                      concat("engine refused the request with status ", status_));
    if (status_ >= kMinServerError)
        return outcomeUnknown(ErrorCode::TargetFailed,
                              concat("engine failed with status ", status_));
    if (errorBodyTooLarge_)
        return outcomeUnknown(ErrorCode::TargetFailed,
                              concat("engine refused with status ", status_, " and a large body"));
    if (!forward(errorBody_))
        return outcomeUnknown(ErrorCode::Cancelled, "request was cancelled");
    return 0;
}

ServiceAnswerSink::ServiceAnswerSink(AnswerBuffer &buffer)
    : buffer_(&buffer)
{ }

bool ServiceAnswerSink::onHead(int status, const std::string &contentType)
{
    buffer_->setHead({status, contentType, ""});
    return !buffer_->isCancelled();
}

bool ServiceAnswerSink::onData(std::string_view data)
{
    return buffer_->append(data);
}

} // namespace foxtailturn
