// The part of callers' connections that keeps to the memory and descriptors of the VM.

#include <algorithm>
#include <tuple>

#include "callers/caller_connection.h"

namespace foxtailturn::callers {

namespace {

using std::chrono::milliseconds;

constexpr Duration kPauseReviewInterval = milliseconds(100);
// A body that has waited for memory for this long makes another one, or itself, give way.
constexpr Duration kMaxPause = milliseconds(1000);
constexpr Duration kMemoryRetry = milliseconds(1000); // Retry-After, plus up to as much again
// Receive buffer of a socket from which a large body is read, which the system doubles. It bounds
// what the system holds of a body whose reading is paused.
constexpr int kReceiveBuffer = 32'768;
constexpr std::size_t kShedDivisor = 8; // part of a bound that is made free at once

} // namespace

void CallerConnection::updateHold()
{
    if (!stream_->isOpen() || isDiscarding_)
        return;
    const std::size_t held =
        unparsed_.size() + parser_.heldBytes() + (hasHead_ ? headBytes_ : 0) + body_.size();
    unfinished_.set(held);
    const bool isReadingBody = hasHead_ && !exchange_ && !isDiscarding_;
    const bool mayBeLarge = head_.contentLength_.value_or(memory::MemoryBounds::kSmallBody + 1)
        > memory::MemoryBounds::kSmallBody;
    if (isReadingBody && mayBeLarge && !hasReceiveBuffer_) {
        stream_->setReceiveBuffer(kReceiveBuffer);
        hasReceiveBuffer_ = true;
    }
    const memory::MemoryAccount &memory = service_.memory();
    // A single request is read whatever the VM's size.
    if (memory.total() <= memory.bounds().pauseAt_ || memory.total() == unfinished_.bytes())
        return;
    listener_.makeMemory();
    const bool isLarge = unfinished_.bytes() > memory::MemoryBounds::kSmallBody;
    if (isLarge && isReadingBody && !isDiscarding_ && stream_->isOpen()
        && memory.total() > memory.bounds().pauseAt_) {
        pausedAt_ = service_.now();
        stream_->pause();
        listener_.addPaused(*this);
    }
}

void CallerConnection::resumeReading()
{
    pausedAt_.reset();
    progressAt_ = service_.now();
    stream_->resume();
}

const std::string &CallerConnection::owner()
{
    if (owner_.empty() && hasHead_) {
        const std::string workspace = service_.workspaceOf(head_);
        if (!workspace.empty())
            owner_ = "workspace " + workspace;
    }
    if (owner_.empty())
        owner_ = "address " + stream_->peerAddress();
    return owner_;
}

memory::Holder CallerConnection::holder()
{
    if (!exchange_ && !isDiscarding_ && unfinished_.bytes() > 0)
        // A caller that waits for memory is not the one that stalls.
        return {owner(), unfinished_.bytes(), pausedAt_ ? service_.now() : progressAt_, receivedAt_,
                true};
    const std::size_t bytes = stream_->queuedBytes() + unfinished_.bytes();
    if (bytes > 0)
        return {owner(), bytes, progressAt_, receivedAt_, false};
    return {};
}

CallerConnection::Use CallerConnection::use() const
{
    if (stream_->queuedBytes() > 0)
        return Use::Unread;
    if (exchange_)
        return Use::Served;
    return isIdle() && !parser_.isInMessage() && unparsed_.empty() ? Use::Idle : Use::Unfinished;
}

void CallerConnection::shed()
{
    if (!exchange_ && !isDiscarding_ && hasHead_)
        refuseForMemory();
    else
        closeForAnother();
}

void CallerConnection::closeForAnother()
{
    const auto self = shared_from_this();
    stream_->reset(); // before close(), as an orderly end could pass for the end of the answer
    close();
}

void CallerConnection::refuseForMemory()
{
    const Duration spread = std::chrono::duration_cast<Duration>(kMemoryRetry * service_.jitter());
    refuseUnread({503, service_.requestIdOf(head_), std::string(errorName(ErrorCode::Overloaded)),
                  kMemoryRetry + spread, true});
}

void CallerListener::makeMemory()
{
    const memory::MemoryBounds &bounds = service_.memory().bounds();
    if (service_.memory().total() > bounds.max_)
        shedTo(bounds.max_ - bounds.max_ / kShedDivisor, SheddingScope::All);
}

void CallerListener::makeMemoryLater()
{
    if (service_.memory().total() <= service_.memory().bounds().max_ || isMakingMemory_)
        return;
    isMakingMemory_ = true;
    asio::post(service_.context(), [this] {
        const LoopMeter::Scope scope(&meter_, WorkKind::Callers);
        isMakingMemory_ = false;
        makeMemory();
    });
}

void CallerListener::shedTo(std::size_t bytes, SheddingScope scope)
{
    std::vector<std::shared_ptr<CallerConnection>> connections(connections_.begin(),
                                                               connections_.end());
    std::erase_if(flushing_, [](const auto &stream) { return stream.expired(); });
    while (service_.memory().total() > bytes) {
        std::vector<memory::Holder> holders;
        holders.reserve(connections.size() + flushing_.size());
        for (const auto &connection : connections)
            holders.push_back(connection->holder());
        for (const auto &weak : flushing_) {
            const std::shared_ptr<ByteStream> stream = weak.lock();
            holders.push_back(
                {.bytes_ = stream ? stream->queuedBytes() : 0, .isUnfinished_ = false});
        }
        const std::optional<std::size_t> index = memory::chooseToShed(holders, service_.now());
        if (!index || (scope == SheddingScope::Unfinished && !holders[*index].isUnfinished_))
            return;
        const memory::Holder &holder = holders[*index];
        service_.recordShed(holder.isUnfinished_ ? "unfinished_request" : "unread_answer", holder,
                            connections_.size());
        if (*index < connections.size())
            connections[*index]->shed();
        else if (const auto stream = flushing_[*index - connections.size()].lock())
            stream->reset();
    }
}

void CallerListener::addPaused(CallerConnection &connection)
{
    paused_.push_back(connection.weak_from_this());
    if (paused_.size() == 1)
        reviewPausedLater();
}

void CallerListener::addFlushing(const std::shared_ptr<ByteStream> &stream)
{
    if (!stream->isOpen() || stream->queuedBytes() == 0)
        return;
    std::erase_if(flushing_, [](const auto &other) { return other.expired(); });
    flushing_.push_back(stream);
}

void CallerListener::reviewPausedLater()
{
    pauseTimer_.expires_after(kPauseReviewInterval);
    pauseTimer_.async_wait([this](const asio::error_code &error) {
        if (!error)
            reviewPaused();
    });
}

void CallerListener::reviewPaused()
{
    const LoopMeter::Scope scope(&meter_, WorkKind::Callers);
    const memory::MemoryAccount &memory = service_.memory();
    const std::size_t pauseAt = memory.bounds().pauseAt_;
    std::erase_if(paused_, [](const std::weak_ptr<CallerConnection> &weak) {
        const std::shared_ptr<CallerConnection> connection = weak.lock();
        return !connection || !connection->pausedAt();
    });
    const auto first = paused_.empty() ? nullptr : paused_.front().lock();
    if (first && memory.total() > pauseAt && service_.now() - *first->pausedAt() >= kMaxPause)
        shedTo(pauseAt - pauseAt / kShedDivisor, SheddingScope::Unfinished);
    // Each reads up to a small body before it is paused again.
    std::size_t room = pauseAt - std::min(pauseAt, memory.total());
    while (!paused_.empty() && room >= memory::MemoryBounds::kSmallBody) {
        const std::shared_ptr<CallerConnection> connection = paused_.front().lock();
        paused_.pop_front();
        if (!connection || !connection->pausedAt())
            continue;
        room -= memory::MemoryBounds::kSmallBody;
        connection->resumeReading();
    }
    if (!paused_.empty())
        reviewPausedLater();
}

bool CallerListener::makeRoom()
{
    if (connections_.size() < maxConnections_)
        return true;
    const auto rank = [](const std::shared_ptr<CallerConnection> &connection) {
        return std::tuple(connection->use(), connection->progressAt());
    };
    const auto least =
        std::min_element(connections_.begin(), connections_.end(),
                         [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
    if (least == connections_.end() || (*least)->use() == CallerConnection::Use::Served)
        return false;
    const std::shared_ptr<CallerConnection> &connection = *least;
    service_.recordShed("connections", connection->holder(), connections_.size());
    connection->closeForAnother();
    return true;
}

} // namespace foxtailturn::callers
