#include "agent/answer_buffer.h"

#include <algorithm>
#include <utility>

namespace foxtailturn {

namespace {

// Of one execution; the longest reports stay well under 1 MiB.
constexpr std::size_t kMaxAnswerBytes = 16'777'216;
// Waits for readers to make room.
constexpr auto kRoomInterval = std::chrono::milliseconds(20);
constexpr int kMaxRoomWaits = 50;

} // namespace

AnswerBuffer::AnswerBuffer(const Clock &clock, memory::ByteBudget &budget)
    : clock_(&clock)
    , budget_(&budget)
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
    std::unique_lock lock(mutex_);
    if (finished_ || failure_)
        return false;
    if (end_ + data.size() > kMaxAnswerBytes)
        appendRejected_ = true;
    while (!data.empty() && !appendRejected_) {
        const bool isFull = blocks_.empty() || blocks_.back().data_.size() == kBlockBytes;
        if (cancelled_ || (isFull && !addBlock(lock))) {
            appendRejected_ = true;
            break;
        }
        std::string &block = blocks_.back().data_;
        const std::string_view part = data.substr(0, kBlockBytes - block.size());
        block.append(part);
        end_ += part.size();
        data.remove_prefix(part.size());
        changed_.notify_all();
    }
    return !appendRejected_;
}

bool AnswerBuffer::addBlock(std::unique_lock<std::mutex> &lock)
{
    if (end_ == 0) {
        blocks_.emplace_back();
        return true;
    }
    for (int waits = 0; !isOver(); ++waits) {
        std::unique_ptr<memory::ByteShare> share = budget_->tryTake(kBlockBytes);
        if (share) {
            blocks_.push_back({{}, std::move(share)});
            return true;
        }
        if (waits == kMaxRoomWaits)
            return false;
        dropReadBlocks(0);
        changed_.wait_for(lock, kRoomInterval);
    }
    return false;
}

void AnswerBuffer::dropReadBlocks(std::size_t kept)
{
    while (blocks_.size() > 1 && begin_ + kBlockBytes + kept <= readTo_) {
        blocks_.pop_front();
        begin_ += kBlockBytes;
    }
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
    changed_.notify_all();
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
    return (head_ && !headReceived) || end_ > offset || finished_ || failure_;
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
    if (offset < begin_) {
        chunk.failure_ = Error{ErrorCode::ConnectionLost, Execution::OutcomeUnknown,
                               "the agent keeps the answer from a later byte on only"};
        return chunk;
    }
    if (!headReceived)
        chunk.head_ = head_;
    if (end_ > offset) {
        const std::uint64_t place = offset - begin_;
        chunk.data_ = blocks_[place / kBlockBytes].data_.substr(place % kBlockBytes);
    }
    readTo_ = std::max(readTo_, offset);
    const bool isLast = offset + chunk.data_.size() == end_;
    dropReadBlocks(isLast && finished_ ? 0 : kKeptBytes);
    if (isLast) {
        chunk.finished_ = finished_;
        chunk.usedTokens_ = usedTokens_;
        chunk.failure_ = failure_;
    }
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
    return end_;
}

} // namespace foxtailturn
