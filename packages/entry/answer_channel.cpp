#include "entry/answer_channel.h"

#include <utility>

#include <asio/post.hpp>

namespace foxtailturn {

namespace {

constexpr std::size_t kMaxQueuedBytes = 65'536; // on their way to the loop

} // namespace

AnswerChannel::AnswerChannel(const AnswerLoop &loop, callers::AnswerSink &answer,
                             std::size_t requestBytes, Work work)
    : loop_(loop)
    , answer_(&answer)
    , work_(std::move(work))
{
    requestHold_.emplace(loop.memory_, memory::MemoryKind::Request, requestBytes);
}

template <typename Function>
void AnswerChannel::post(Function function)
{
    asio::post(
        loop_.context_,
        [self = shared_from_this(), function = std::move(function)]() mutable { function(*self); });
}

void AnswerChannel::start()
{
    const Work work = std::move(work_);
    work_ = nullptr;
    work(shared_from_this());
}

void AnswerChannel::leave()
{
    answer_ = nullptr;
    hasLeft_ = true;
    const std::lock_guard lock(mutex_);
    changed_.notify_all();
}

void AnswerChannel::cancel()
{
    leave();
}

void AnswerChannel::shutDown()
{
    if (answer_ != nullptr && hasBegun_) {
        abort();
    } else if (answer_ != nullptr) {
        answer_->sendAnswer(shutDownAnswer_);
        std::exchange(answer_, nullptr)->endAnswer();
    }
    leave();
}

void AnswerChannel::onAnswerDrained()
{
    const std::lock_guard lock(mutex_);
    isUnread_ = false;
    changed_.notify_all();
}

void AnswerChannel::sendHead(MessageHead head)
{
    hasBegun_ = true;
    framing_ = head.framing_;
    post([head = std::move(head)](AnswerChannel &self) mutable { self.begin(std::move(head)); });
}

void AnswerChannel::begin(MessageHead head)
{
    if (answer_ == nullptr)
        return;
    if (framing_ == BodyFraming::UntilClose)
        answer_->endWithConnection();
    if (framing_ == BodyFraming::Chunks)
        head.add("Transfer-Encoding", "chunked");
    if (answer_->closesAfterAnswer())
        head.add("Connection", "close");
    forward(responseText(head), 0);
}

bool AnswerChannel::send(std::string data)
{
    if (data.empty())
        return !hasLeft_;
    std::unique_lock lock(mutex_);
    const auto mayGoOn = [this] { return hasLeft_ || (!isUnread_ && queued_ < kMaxQueuedBytes); };
    if (!changed_.wait_for(lock, kMaxUnreadTime, mayGoOn) || hasLeft_)
        return false;
    queued_ += data.size();
    lock.unlock();
    const std::size_t size = data.size();
    if (framing_ == BodyFraming::Chunks)
        data = chunkText(data);
    post([data = std::move(data), size](AnswerChannel &self) { self.forward(data, size); });
    return true;
}

void AnswerChannel::forward(const std::string &data, std::size_t size)
{
    bool isUnread = false;
    if (answer_ != nullptr) {
        answer_->sendAnswer(data);
        // Making room for the bytes may have closed the connection.
        isUnread = answer_ != nullptr
            && answer_->unsentBytes()
                >= loop_.memory_.bounds().answerPauseAt(loop_.memory_.total());
    }
    const std::lock_guard lock(mutex_);
    queued_ -= size;
    isUnread_ = isUnread;
    changed_.notify_all();
}

void AnswerChannel::finish()
{
    post([](AnswerChannel &self) {
        callers::AnswerSink *answer = std::exchange(self.answer_, nullptr);
        if (answer == nullptr)
            return;
        if (self.framing_ == BodyFraming::Chunks)
            answer->sendAnswer(std::string(kLastChunk));
        answer->endAnswer();
    });
}

void AnswerChannel::breakOff()
{
    post([](AnswerChannel &self) { self.abort(); });
}

void AnswerChannel::abort()
{
    callers::AnswerSink *answer = std::exchange(answer_, nullptr);
    if (answer != nullptr)
        answer->abortAnswer(framing_ == BodyFraming::UntilClose ? callers::AnswerBreak::Reset
                                                                : callers::AnswerBreak::Close);
}

void AnswerChannel::done()
{
    post([](AnswerChannel &self) { self.requestHold_.reset(); });
}

} // namespace foxtailturn
