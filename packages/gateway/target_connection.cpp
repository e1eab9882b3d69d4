#include "gateway/target_connection.h"

#include <poll.h>

#include <algorithm>
#include <utility>

#include "gateway/read_limits.h"

namespace foxtailturn::gateway {

namespace {

// An idle connection is reused within this fraction of the idle timeout that the target announces,
// so that a request is seldom sent while the target closes the connection.
constexpr int kIdleReuseNumerator = 1;
constexpr int kIdleReuseDenominator = 2;
// For targets that announce no idle timeout; shorter than the usual idle timeouts of HTTP servers.
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(4);

} // namespace

TargetConnection::TargetConnection(ConnectionPool &pool, std::string address,
                                   TimePoint connectDeadline)
    : pool_(pool)
    , address_(std::move(address))
    , socket_(pool.context_)
    , connectTimer_(pool.context_)
{
    connectTimer_.expires_after(std::max(connectDeadline - pool.clock_.now(), Duration::zero()));
}

void TargetConnection::connect()
{
    const auto endpoint = endpointOf(address_);
    if (!endpoint) {
        asio::post(pool_.context_, [self = shared_from_this()] {
            self->onConnected(asio::error::invalid_argument);
        });
        return;
    }
    connectTimer_.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (error || self->stream_ || self->isClosed_ || self->hasConnectEnded())
            return;
        asio::error_code ignored; // the connect handler reports the failure
        self->socket_.close(ignored);
    });
    socket_.async_connect(*endpoint, [self = shared_from_this()](const asio::error_code &error) {
        self->onConnected(error);
    });
}

// Returns whether the system has an outcome, whose handler may be late.
bool TargetConnection::hasConnectEnded()
{
    pollfd socket{socket_.native_handle(), POLLOUT, 0};
    return ::poll(&socket, 1, 0) > 0;
}

void TargetConnection::onConnected(const asio::error_code &error)
{
    connectTimer_.cancel();
    if (isClosed_)
        return;
    if (error) {
        fail(ErrorCode::ConnectionLost, "connect failed: " + error.message());
        finishCheck(error == asio::error::connection_refused ? Reachability::Refused
                                                             : Reachability::Unknown);
        return;
    }
    parser_ = std::make_unique<MessageParser>(MessageKind::Response, read_limits::kMaxHeadBytes,
                                              static_cast<MessageSink &>(*this));
    stream_ = ByteStream::create(std::move(socket_));
    stream_->start([self = shared_from_this()](std::string_view data) { self->onData(data); },
                   [self = shared_from_this()](const asio::error_code &reason) {
                       const LoopMeter::Scope scope(self->pool_.meter_, self->pool_.workKind_);
                       self->onClosed(reason);
                   });
    connectedAt_ = pool_.clock_.now();
    if (isPaused_)
        stream_->pause();
    sendRequest();
    finishCheck(Reachability::Reachable);
}

void TargetConnection::finishCheck(Reachability reachability)
{
    if (!checkHandler_)
        return;
    if (reachability == Reachability::Reachable)
        release();
    std::exchange(checkHandler_, nullptr)(reachability);
}

// Returns the connection to the pool.
void TargetConnection::release()
{
    const Duration idle = (idleTimeout_ > Duration::zero() ? idleTimeout_ : kDefaultIdleTimeout)
        * kIdleReuseNumerator / kIdleReuseDenominator;
    usableUntil_ = pool_.clock_.now() + idle;
    resume(); // the exchange that paused it has ended
    pool_.release(shared_from_this());
}

void TargetConnection::exchange(std::string text, std::string requestId, bool expectsNoBody,
                                ExchangeSink &sink)
{
    exchange(
        [text = std::move(text)]() mutable { return std::optional<RequestBytes>(std::move(text)); },
        std::move(requestId), expectsNoBody, sink);
}

void TargetConnection::exchange(RequestWriter writer, std::string requestId, bool expectsNoBody,
                                ExchangeSink &sink)
{
    writer_ = std::move(writer);
    requestId_ = std::move(requestId);
    expectsNoBody_ = expectsNoBody;
    sink_ = &sink;
    isSent_ = false;
    isSkipping_ = false;
    skippedBytes_ = 0;
    isResponseComplete_ = false;
    keepsAlive_ = true;
    ++exchanges_;
    sendRequest();
}

void TargetConnection::sendRequest()
{
    if (!stream_ || sink_ == nullptr || !writer_)
        return;
    std::optional<RequestBytes> request = std::exchange(writer_, nullptr)();
    if (!request)
        return;
    isSent_ = true;
    if (expectsNoBody_)
        parser_->expectNoBody();
    stream_->send(std::move(request->text_));
    if (request->body_)
        stream_->send(std::move(request->body_));
}

void TargetConnection::pause()
{
    isPaused_ = true;
    if (stream_)
        stream_->pause();
}

void TargetConnection::resume()
{
    isPaused_ = false;
    if (stream_)
        stream_->resume();
}

void TargetConnection::abandon()
{
    // After an orderly close, bytes delayed by a network fault would still be delivered when the
    // caller has long left. A reset discards them.
    const bool isInProgress = sink_ != nullptr && isSent_;
    sink_ = nullptr;
    isClosed_ = true;
    connectTimer_.cancel();
    asio::error_code ignored; // closed anyway
    if (stream_ && isInProgress)
        stream_->reset();
    else if (stream_)
        stream_->close();
    else
        socket_.close(ignored);
}

bool TargetConnection::isUsable(TimePoint now) const
{
    return !isClosed_ && stream_ && stream_->isOpen() && now < usableUntil_;
}

void TargetConnection::onData(std::string_view data)
{
    const std::shared_ptr<TargetConnection> self = shared_from_this();
    const LoopMeter::Scope scope(pool_.meter_, pool_.workKind_);
    while (!data.empty() && !isClosed_) {
        if (sink_ == nullptr) {
            abandon(); // unsolicited bytes
            return;
        }
        const std::size_t used = parser_->feed(data);
        data.remove_prefix(used);
        if (isClosed_)
            return; // the sink has abandoned the exchange
        skippedBytes_ += isSkipping_ ? used : 0;
        if (skippedBytes_ > read_limits::kMaxSkippedBytes) {
            fail(ErrorCode::PayloadTooLarge, "too many bytes before the response to the request");
            return;
        }
        if (parser_->error()) {
            const bool isTooLong = parser_->error()->code_ == ErrorCode::PayloadTooLarge;
            fail(isTooLong ? ErrorCode::PayloadTooLarge : ErrorCode::TargetFailed,
                 "malformed HTTP response: " + parser_->error()->message_);
            return;
        }
        if (!parser_->isComplete())
            continue;
        parser_->next();
        if (!isResponseComplete_)
            continue; // the response to another request was skipped
        if (!data.empty())
            keepsAlive_ = false; // unsolicited bytes after the response
        completeExchange();
        return;
    }
}

void TargetConnection::completeExchange()
{
    ExchangeSink *sink = sink_;
    sink_ = nullptr;
    const bool hasUnsentBytes = stream_->queuedBytes() > 0;
    if (!keepsAlive_ || hasUnsentBytes) {
        // If request bytes are still queued, the connection is closed only after they are sent.
        isClosed_ = true;
        if (hasUnsentBytes)
            stream_->finish();
        else
            stream_->close();
    } else {
        release();
    }
    sink->onReplyEnd();
}

void TargetConnection::onClosed(const asio::error_code &error)
{
    if (isClosed_)
        return;
    if (sink_ != nullptr && error == asio::error::eof) {
        const std::shared_ptr<TargetConnection> self = shared_from_this();
        const std::optional<Duration> age = stream_->lastSegmentAge();
        const TimePoint now = pool_.clock_.now();
        closedSince_ = age            ? now - *age
            : pool_.meter_ != nullptr ? pool_.meter_->readySince()
                                      : now;
        parser_->finish();
        if (isResponseComplete_ && !parser_->error()) {
            keepsAlive_ = false;
            completeExchange();
            return;
        }
    }
    fail(ErrorCode::ConnectionLost, "connection lost: " + error.message());
}

void TargetConnection::fail(ErrorCode code, const std::string &message)
{
    ExchangeSink *sink = sink_;
    const bool mayHaveRun = isSent_;
    abandon();
    if (sink != nullptr)
        sink->onExchangeFailure(
            Error{code, mayHaveRun ? Execution::OutcomeUnknown : Execution::NotRun, message});
}

void TargetConnection::onHead(MessageHead head)
{
    constexpr int kFirstFinalStatus = 200;
    const TargetReply reply = pool_.codec_.decodeReply(head);
    isSkipping_ =
        head.status_ < kFirstFinalStatus || (!requestId_.empty() && reply.requestId_ != requestId_);
    if (isSkipping_)
        return;
    keepsAlive_ = head.keepsAlive_;
    if (reply.idleTimeout_)
        idleTimeout_ = *reply.idleTimeout_;
    if (sink_ != nullptr)
        sink_->onReplyHead(head, reply);
}

void TargetConnection::onBody(std::string_view data)
{
    if (!isSkipping_ && sink_ != nullptr)
        sink_->onReplyBody(data);
}

void TargetConnection::onMessageEnd()
{
    isResponseComplete_ = !isSkipping_;
}

ConnectionPool::ConnectionPool(asio::io_context &context, const PlatformCodec &codec,
                               const Clock &clock)
    : context_(context)
    , codec_(codec)
    , clock_(clock)
{ }

std::shared_ptr<TargetConnection> ConnectionPool::acquire(const std::string &address,
                                                          TimePoint connectDeadline)
{
    const auto it = idle_.find(address);
    while (it != idle_.end() && !it->second.empty()) {
        const std::shared_ptr<TargetConnection> connection = it->second.back();
        it->second.pop_back();
        if (connection->isUsable(clock_.now())) {
            ++reused_;
            return connection;
        }
        connection->abandon();
    }
    return open(address, connectDeadline);
}

std::shared_ptr<TargetConnection> ConnectionPool::open(const std::string &address,
                                                       TimePoint connectDeadline)
{
    ++opened_;
    auto connection = std::make_shared<TargetConnection>(*this, address, connectDeadline);
    connection->connect();
    return connection;
}

void ConnectionPool::check(const std::string &address, TimePoint connectDeadline,
                           std::function<void(Reachability reachability)> handler)
{
    open(address, connectDeadline)->checkHandler_ = std::move(handler);
}

bool ConnectionPool::hasOpenIdle(const std::string &address, TimePoint establishedBy) const
{
    const auto it = idle_.find(address);
    return it != idle_.end()
        && std::any_of(it->second.begin(), it->second.end(), [&](const auto &connection) {
               return connection->connectedAt_ <= establishedBy
                   && connection->isUsable(clock_.now()) && !connection->stream_->hasPeerClosed();
           });
}

void ConnectionPool::release(const std::shared_ptr<TargetConnection> &connection)
{
    idle_[connection->address()].push_back(connection);
}

void ConnectionPool::closeIdle(const std::string &address)
{
    const auto it = idle_.find(address);
    if (it == idle_.end())
        return;
    for (const auto &connection : it->second)
        connection->abandon();
    idle_.erase(it);
}

void ConnectionPool::closeAllIdle()
{
    for (const auto &[address, connections] : idle_) {
        for (const auto &connection : connections)
            connection->abandon();
    }
    idle_.clear();
}

void ConnectionPool::closeExpired()
{
    const TimePoint now = clock_.now();
    for (auto it = idle_.begin(); it != idle_.end();) {
        std::erase_if(it->second, [now](const std::shared_ptr<TargetConnection> &connection) {
            if (connection->isUsable(now))
                return false;
            connection->abandon();
            return true;
        });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

} // namespace foxtailturn::gateway
