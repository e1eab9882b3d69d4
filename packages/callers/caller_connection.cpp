#include "callers/caller_connection.h"

#include <algorithm>

#include "net/endpoint.h"

namespace foxtailturn::callers {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxHeaderBytes = 81'920; // upper bound, whatever the configuration says
constexpr std::size_t kMaxUnparsedBytes = 65'536; // bytes buffered while an answer is in progress
constexpr std::size_t kMaxIdleBuffer = 4096; // a larger one is given back
constexpr Duration kDiscardTime = milliseconds(1000); // time for the caller to read a final refusal
constexpr Duration kAcceptRetryDelay =
    milliseconds(50); // after a failed accept, for example when file descriptors run out

} // namespace

CallerConnection::CallerConnection(CallerListener &listener, CallerService &service,
                                   asio::ip::tcp::socket socket)
    : listener_(listener)
    , service_(service)
    , stream_(ByteStream::create(std::move(socket)))
    , parser_(MessageKind::Request, std::min(kMaxHeaderBytes, service.limits().maxHeaderBytes_),
              *this)
    , timer_(service.context())
    , unfinished_(service.memory(), memory::MemoryKind::UnfinishedRequest)
{
    stream_->account(service.memory(), memory::MemoryKind::UnsentAnswer);
}

void CallerConnection::start()
{
    progressAt_ = service_.now();
    stream_->onDrain([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->exchange_)
            self->exchange_->onAnswerDrained();
    });
    stream_->start(
        [weak = weak_from_this()](std::string_view data) {
            if (const auto self = weak.lock())
                self->onData(data);
        },
        [weak = weak_from_this()](const asio::error_code &) {
            if (const auto self = weak.lock())
                self->onClosed();
        });
    armTimer(service_.limits().idleTimeout_, false);
}

void CallerConnection::armTimer(Duration wait, bool isForHeader)
{
    timer_.expires_after(wait);
    timer_.async_wait([weak = weak_from_this(), wait, isForHeader,
                       queued = stream_->queuedBytes()](const asio::error_code &error) {
        const auto self = weak.lock();
        if (error || !self || self->exchange_)
            return;
        // A caller that still reads its last answer is not idle.
        if (!isForHeader && !self->isDiscarding_ && self->stream_->queuedBytes() < queued) {
            self->armTimer(wait, false);
            return;
        }
        const LoopMeter::Scope scope(&self->listener_.meter_, WorkKind::Callers);
        if (self->pausedAt_)
            self->refuseForMemory();
        else if (isForHeader && !self->isDiscarding_)
            self->refuseAndClose(408, ErrorCode::DeadlineExceeded);
        else
            self->close();
    });
}

void CallerConnection::onData(std::string_view data)
{
    if (isDiscarding_)
        return;
    const LoopMeter::Scope scope(&listener_.meter_, WorkKind::Callers);
    unparsed_ += data;
    if (exchange_) {
        unfinished_.set(unparsed_.size());
        const memory::MemoryAccount &memory = service_.memory();
        if (unparsed_.size() > kMaxUnparsedBytes || memory.total() > memory.bounds().pauseAt_)
            stream_->pause();
        listener_.makeMemoryLater();
        return;
    }
    // The caller's time runs while its bytes wait for the loop.
    progressAt_ = listener_.meter_.readySince();
    readRequests(progressAt_);
}

void CallerConnection::readRequests(TimePoint receivedAt)
{
    const auto self = shared_from_this();
    if (isReading_)
        return; // called from within the loop below, which goes on by itself
    isReading_ = true;
    while (!unparsed_.empty() && !exchange_ && !isDiscarding_ && stream_->isOpen()) {
        const bool isNew = !parser_.isInMessage();
        if (isNew) {
            receivedAt_ = receivedAt;
            armTimer(service_.limits().headerTimeout_, true);
        }
        const std::size_t used = parser_.feed(unparsed_);
        unparsed_.erase(0, used);
        if (isDiscarding_)
            break;
        if (parser_.error()) {
            const bool isTooLarge = parser_.error()->code_ == ErrorCode::PayloadTooLarge;
            refuseAndClose(isTooLarge ? 431 : 400, parser_.error()->code_);
            break;
        }
        if (parser_.isComplete()) {
            parser_.next();
            beginRequest();
        }
    }
    isReading_ = false;
    if (isDiscarding_)
        parser_.discard();
    if (isDiscarding_ || (unparsed_.empty() && unparsed_.capacity() > kMaxIdleBuffer))
        unparsed_ = std::string();
    updateHold();
}

void CallerConnection::onHead(MessageHead head)
{
    hasHead_ = true;
    headBytes_ = heldBytes(head);
    owner_.clear();
    keepsAlive_ = head.keepsAlive_;
    head_ = std::move(head);
    body_.clear();
    const std::size_t limit = service_.limits().maxBodyBytes_;
    if (head_.contentLength_.value_or(0) > limit) {
        refuseAndClose(413, ErrorCode::PayloadTooLarge);
        return;
    }
    const std::string *expect = head_.find("Expect");
    if (expect != nullptr && equalsIgnoringCase(*expect, "100-continue"))
        stream_->send("HTTP/1.1 100 Continue\r\n\r\n");
}

void CallerConnection::onBody(std::string_view data)
{
    if (isDiscarding_)
        return;
    if (body_.size() + data.size() > service_.limits().maxBodyBytes_) {
        refuseAndClose(413, ErrorCode::PayloadTooLarge);
        return;
    }
    body_.append(data);
}

void CallerConnection::onMessageEnd() { }

void CallerConnection::beginRequest()
{
    timer_.cancel();
    hasHead_ = false;
    const int hosts = head_.count("Host");
    const bool mayLackHost = !head_.canReadChunks_; // HTTP/1.0, such as balancers' health checks
    if (hosts > 1 || (hosts == 0 && !mayLackHost)) {
        refuseAndClose(400, ErrorCode::BadRequest);
        return;
    }
    unfinished_.set(0);
    std::string body = body_.take();
    const memory::MemoryAccount &memory = service_.memory();
    if (memory.total() > 0 && memory.total() + headBytes_ + body.size() > memory.bounds().max_) {
        refuseForMemory();
        return;
    }
    Admission admission =
        service_.admit(head_, std::move(body), receivedAt_, static_cast<AnswerSink &>(*this));
    if (Refusal *refusal = std::get_if<Refusal>(&admission)) {
        refuse(std::move(*refusal));
        return;
    }
    exchange_ = std::get<std::shared_ptr<Exchange>>(std::move(admission));
    // start() may answer synchronously and reset exchange_, so keep it alive until it returns.
    const std::shared_ptr<Exchange> exchange = exchange_;
    exchange->start();
}

void CallerConnection::refuse(Refusal refusal)
{
    service_.countRefusal(refusal);
    refusal.closesConnection_ = closesAfterAnswer();
    stream_->send(service_.refusalText(refusal));
    endAnswer();
}

void CallerConnection::refuseAndClose(int status, ErrorCode code)
{
    refuseUnread({status, "", std::string(errorName(code)), std::nullopt, true});
}

void CallerConnection::refuseUnread(const Refusal &refusal)
{
    service_.countRefusal(refusal);
    service_.logUnreadRequest(refusal);
    beginDiscard();
    stream_->send(service_.refusalText(refusal));
}

// Gives back what was read. Closing a socket with unread input resets the connection before the
// caller can read a refusal, so input is read and discarded for a while.
void CallerConnection::beginDiscard()
{
    isDiscarding_ = true;
    body_.clear();
    unfinished_.set(0);
    if (!isReading_) { // otherwise readRequests() still uses them
        unparsed_ = std::string();
        parser_.discard();
    }
    pausedAt_.reset();
    stream_->resume();
    armTimer(kDiscardTime, false);
}

void CallerConnection::sendAnswer(std::string bytes)
{
    stream_->send(std::move(bytes));
    listener_.makeMemoryLater();
}

void CallerConnection::endAnswer()
{
    const auto self = shared_from_this(); // the listener's may be the last reference
    exchange_.reset();
    if (closesAfterAnswer()) {
        isDiscarding_ = true;
        listener_.connections_.erase(shared_from_this());
        timer_.cancel();
        stream_->finish();
        listener_.addFlushing(stream_);
        return;
    }
    stream_->resume();
    armTimer(service_.limits().idleTimeout_, false);
    if (!unparsed_.empty())
        asio::post(service_.context(), [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (self && !self->exchange_)
                self->readRequests(self->service_.now());
        });
}

void CallerConnection::abortAnswer(AnswerBreak how)
{
    const auto self = shared_from_this();
    exchange_.reset();
    isDiscarding_ = true;
    listener_.connections_.erase(shared_from_this());
    timer_.cancel();
    unfinished_.set(0);
    // A reset would also take from the caller what it has not read yet.
    if (how == AnswerBreak::Reset)
        stream_->reset();
    else
        stream_->finish();
}

void CallerConnection::endWithConnection()
{
    keepsAlive_ = false;
    stream_->resetUnlessFinished();
}

bool CallerConnection::closesAfterAnswer() const
{
    return !keepsAlive_ || listener_.isDraining();
}

std::size_t CallerConnection::unsentBytes() const
{
    return stream_->queuedBytes();
}

bool CallerConnection::hasCallerLeft()
{
    return stream_->hasPeerClosed();
}

void CallerConnection::onClosed()
{
    const LoopMeter::Scope scope(&listener_.meter_, WorkKind::Callers);
    close();
}

void CallerConnection::drain()
{
    if (isIdle() && !parser_.isInMessage() && unparsed_.empty())
        close();
}

void CallerConnection::shutDown()
{
    if (const std::shared_ptr<Exchange> exchange = exchange_)
        exchange->shutDown();
}

void CallerConnection::close()
{
    const auto self = shared_from_this();
    timer_.cancel();
    unfinished_.set(0);
    pausedAt_.reset();
    if (exchange_) {
        const std::shared_ptr<Exchange> exchange = exchange_;
        exchange_.reset();
        exchange->cancel();
    }
    stream_->close();
    listener_.connections_.erase(self);
}

CallerListener::CallerListener(CallerService &service, LoopMeter &meter)
    : service_(service)
    , meter_(meter)
    , pauseTimer_(service.context())
    , acceptor_(service.context())
    , acceptTimer_(service.context())
{ }

Result<void> CallerListener::listen(const std::string &address)
{
    if (Result<void> listening = listenOn(acceptor_, address); !listening)
        return listening;
    accept();
    return {};
}

void CallerListener::accept()
{
    acceptor_.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (!acceptor_.is_open())
            return;
        if (error) {
            service_.recordAcceptFailure(error.message());
            acceptTimer_.expires_after(kAcceptRetryDelay);
            acceptTimer_.async_wait([this](const asio::error_code &stopped) {
                if (!stopped)
                    accept();
            });
            return;
        }
        if (makeRoom()) {
            auto connection =
                std::make_shared<CallerConnection>(*this, service_, std::move(socket));
            connections_.insert(connection);
            connection->start();
        } else {
            service_.recordShed("connections", {}, connections_.size());
        }
        accept();
    });
}

void CallerListener::drain()
{
    isDraining_ = true;
}

void CallerListener::closeIdle()
{
    const std::set<std::shared_ptr<CallerConnection>> connections = connections_;
    for (const std::shared_ptr<CallerConnection> &connection : connections)
        connection->drain();
}

void CallerListener::endRequests()
{
    const std::set<std::shared_ptr<CallerConnection>> connections = connections_;
    for (const std::shared_ptr<CallerConnection> &connection : connections)
        connection->shutDown();
}

bool CallerListener::hasUnsentAnswers() const
{
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const auto &connection) { return connection->hasUnsentAnswer(); })
        || std::any_of(flushing_.begin(), flushing_.end(), [](const auto &weak) {
               const std::shared_ptr<ByteStream> stream = weak.lock();
               return stream && stream->queuedBytes() > 0;
           });
}

void CallerListener::stopAccepting()
{
    asio::error_code ignored; // closed anyway
    acceptor_.close(ignored);
}

} // namespace foxtailturn::callers
