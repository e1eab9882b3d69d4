#include "gateway/agent_link.h"

#include "base/hash.h"
#include "gateway/target_connection.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kConnectTimeout = milliseconds(600);
constexpr std::size_t kMaxBufferedBytes = 1'048'576; // bytes received without a line end
constexpr std::size_t kMaxUnsentBytes = 262'144; // bytes queued for a peer that does not read

} // namespace

AgentLink::AgentLink(asio::io_context &context, std::string address, Handlers handlers,
                     Duration idleTimeout)
    : context_(context)
    , address_(std::move(address))
    , handlers_(std::move(handlers))
    , idleTimeout_(idleTimeout)
    , socket_(context)
    , timer_(context)
    , backoff_(hash64(randomId()))
{ }

void AgentLink::start()
{
    connect();
}

void AgentLink::stop()
{
    isStopped_ = true;
    timer_.cancel();
    asio::error_code ignored; // closed anyway
    socket_.close(ignored);
    if (stream_)
        stream_->close();
    stream_.reset();
}

void AgentLink::armTimer(Duration wait)
{
    timer_.expires_after(wait);
    timer_.async_wait([weak = weak_from_this()](const asio::error_code &error) {
        const auto self = weak.lock();
        if (error || !self || self->isStopped_)
            return;
        // The timer may have been set again after this wait had ended, but before its handler ran.
        if (self->timer_.expiry() > asio::steady_timer::clock_type::now())
            return;
        if (self->stream_ && self->stream_->hasUnreadBytes()) {
            self->armIdleTimer();
        } else if (self->stream_) {
            self->dropConnection();
        } else if (self->socket_.is_open()) {
            asio::error_code ignored; // the connect handler schedules the retry
            self->socket_.close(ignored);
        } else {
            self->connect();
        }
    });
}

void AgentLink::armIdleTimer()
{
    if (idleTimeout_ == kNoIdleTimeout)
        timer_.cancel();
    else
        armTimer(idleTimeout_);
}

void AgentLink::connect()
{
    const auto endpoint = endpointOf(address_);
    if (!endpoint || isStopped_)
        return;
    asio::error_code error;
    socket_ = asio::ip::tcp::socket(context_);
    socket_.open(endpoint->protocol(), error);
    if (error) {
        armTimer(backoff_.next(SystemClock().now()));
        return;
    }
    armTimer(kConnectTimeout);
    socket_.async_connect(*endpoint, [weak = weak_from_this()](const asio::error_code &reason) {
        if (const auto self = weak.lock(); self && !self->isStopped_)
            self->onConnected(reason);
    });
}

void AgentLink::onConnected(const asio::error_code &error)
{
    if (error) {
        asio::error_code ignored; // closed anyway
        socket_.close(ignored);
        armTimer(backoff_.next(SystemClock().now()));
        return;
    }
    backoff_.recordConnected(SystemClock().now());
    buffer_.clear();
    stream_ = ByteStream::create(std::move(socket_));
    stream_->start(
        [weak = weak_from_this()](std::string_view data) {
            if (const auto self = weak.lock())
                self->onData(data);
        },
        [weak = weak_from_this()](const asio::error_code &) {
            if (const auto self = weak.lock())
                self->dropConnection();
        });
    armIdleTimer();
    handlers_.onState_(true);
}

void AgentLink::onData(std::string_view data)
{
    const auto self = shared_from_this();
    armIdleTimer();
    buffer_ += data;
    if (buffer_.size() > kMaxBufferedBytes) {
        dropConnection();
        return;
    }
    std::vector<std::string> lines = extractLines(buffer_);
    if (!handlers_.onLines_) {
        for (const std::string &line : lines)
            handlers_.onMessage_(decodeAgentMessage(line));
    } else if (!lines.empty()) {
        stream_->pause();
        timer_.expires_at(asio::steady_timer::time_point::max()); // nothing is read meanwhile
        handlers_.onLines_(std::move(lines));
    }
}

void AgentLink::resume()
{
    if (!stream_)
        return;
    armIdleTimer();
    stream_->resume();
}

void AgentLink::dropConnection()
{
    const auto self = shared_from_this();
    if (!stream_)
        return;
    stream_->close();
    stream_.reset();
    armTimer(backoff_.next(SystemClock().now()));
    handlers_.onState_(false);
}

void AgentLink::send(std::string line)
{
    if (!stream_)
        return;
    if (stream_->queuedBytes() > kMaxUnsentBytes) {
        dropConnection();
        return;
    }
    stream_->send(std::move(line));
}

} // namespace foxtailturn::gateway
