#include "agent/answer_buffer.h"

#include <algorithm>
#include <utility>

namespace foxtailturn {

namespace {

// Bounds the memory of one execution; the longest reports stay well under 1 MiB.
constexpr std::size_t kMaxAnswerBytes = 16'777'216;

} // namespace

AnswerBuffer::AnswerBuffer(const Clock &clock)
    : clock_(&clock)
    , lastReadAt_(clock.now())
{ }

void AnswerBuffer::setHead(AnswerHead head)
{
    const std::lock_guard lock(mutex_);
    head_ = std::move(head);
    changed_.notify_all();
}

bool AnswerBuffer::append(std::string_view data)
{
    const std::lock_guard lock(mutex_);
    if (finished_ || failure_)
        return false;
    if (cancelled_ || data_.size() + data.size() > kMaxAnswerBytes) {
        appendRejected_ = true;
        return false;
    }
    data_.append(data);
    changed_.notify_all();
    return true;
}

void AnswerBuffer::finish(std::uint64_t usedTokens)
{
    const std::lock_guard lock(mutex_);
    if (finished_ || failure_)
        return;
    if (appendRejected_)
        failure_ = Error{ErrorCode::Cancelled, Execution::OutcomeUnknown, "answer is incomplete"};
    else
        finished_ = true;
    usedTokens_ = usedTokens;
    changed_.notify_all();
}

void AnswerBuffer::fail(Error error)
{
    const std::lock_guard lock(mutex_);
    if (finished_ || failure_)
        return;
    failure_ = std::move(error);
    changed_.notify_all();
}

void AnswerBuffer::cancel()
{
    const std::lock_guard lock(mutex_);
    cancelled_ = true;
}

bool AnswerBuffer::isCancelled() const
{
    const std::lock_guard lock(mutex_);
    return cancelled_;
}

bool AnswerBuffer::isEnded() const
{
    const std::lock_guard lock(mutex_);
    return finished_ || failure_.has_value();
}

bool AnswerBuffer::hasUnread(std::uint64_t offset, bool headReceived) const
{
    return (head_ && !headReceived) || data_.size() > offset || finished_ || failure_;
}

AnswerChunk AnswerBuffer::next(std::uint64_t offset, bool headReceived, TimePoint until)
{
    std::unique_lock lock(mutex_);
    ++waitingReaders_;
    changed_.wait_for(lock, until - clock_->now(), [&] { return hasUnread(offset, headReceived); });
    --waitingReaders_;
    lastReadAt_ = clock_->now();
    AnswerChunk chunk;
    chunk.offset_ = offset;
    if (!headReceived)
        chunk.head_ = head_;
    if (data_.size() > offset)
        chunk.data_ = data_.substr(offset);
    chunk.finished_ = finished_;
    chunk.usedTokens_ = usedTokens_;
    chunk.failure_ = failure_;
    return chunk;
}

TimePoint AnswerBuffer::lastReadAt() const
{
    const std::lock_guard lock(mutex_);
    return waitingReaders_ > 0 ? clock_->now() : lastReadAt_;
}

std::uint64_t AnswerBuffer::size() const
{
    const std::lock_guard lock(mutex_);
    return data_.size();
}

} // namespace foxtailturn
