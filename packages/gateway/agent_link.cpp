#include "gateway/agent_link.h"

#include <algorithm>

#include "gateway/target_connection.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kConnectTime = milliseconds(600);
constexpr Duration kFirstPause = milliseconds(100); // base of the exponential backoff
constexpr int kMostDoublings = 4;
constexpr std::size_t kMostBuffered = 1'048'576; // bytes received without a line end
constexpr std::size_t kMostUnsent = 262'144; // bytes queued for a peer that does not read

} // namespace

AgentLink::AgentLink(asio::io_context &context, std::string address, Handlers handlers,
                     Duration silence)
    : context_(context)
    , address_(std::move(address))
    , handlers_(std::move(handlers))
    , silence_(silence)
    , socket_(context)
    , timer_(context)
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
    timer_.async_wait([weak = weak_from_this()](const asio::error_code &why) {
        const auto self = weak.lock();
        if (why || !self || self->isStopped_)
            return;
        if (self->stream_) {
            self->lost();
        } else if (self->socket_.is_open()) {
            asio::error_code ignored; // the connect handler schedules the retry
            self->socket_.close(ignored);
        } else {
            self->connect();
        }
    });
}

void AgentLink::armSilenceTimer()
{
    if (silence_ == kNoSilence)
        timer_.cancel();
    else
        armTimer(silence_);
}

void AgentLink::connect()
{
    const auto endpoint = endpointOf(address_);
    if (!endpoint || isStopped_)
        return;
    asio::error_code why;
    socket_ = asio::ip::tcp::socket(context_);
    socket_.open(endpoint->protocol(), why);
    if (why) {
        armTimer(kFirstPause);
        return;
    }
    armTimer(kConnectTime);
    socket_.async_connect(*endpoint, [weak = weak_from_this()](const asio::error_code &reason) {
        if (const auto self = weak.lock(); self && !self->isStopped_)
            self->onConnected(reason);
    });
}

void AgentLink::onConnected(const asio::error_code &why)
{
    if (why) {
        asio::error_code ignored; // closed anyway
        socket_.close(ignored);
        armTimer(kFirstPause * (1 << std::min(failures_++, kMostDoublings)));
        return;
    }
    failures_ = 0;
    buffer_.clear();
    stream_ = ByteStream::create(std::move(socket_));
    stream_->start(
        [weak = weak_from_this()](std::string_view data) {
            if (const auto self = weak.lock())
                self->onData(data);
        },
        [weak = weak_from_this()](const asio::error_code &) {
            if (const auto self = weak.lock())
                self->lost();
        });
    armSilenceTimer();
    handlers_.onState_(true);
}

void AgentLink::onData(std::string_view data)
{
    const auto self = shared_from_this();
    armSilenceTimer();
    buffer_ += data;
    if (buffer_.size() > kMostBuffered) {
        lost();
        return;
    }
    for (const std::string &line : takeLines(buffer_))
        handlers_.onMessage_(decodeAgentMessage(line));
}

void AgentLink::lost()
{
    const auto self = shared_from_this();
    if (!stream_)
        return;
    stream_->close();
    stream_.reset();
    armTimer(kFirstPause * (1 << std::min(failures_++, kMostDoublings)));
    handlers_.onState_(false);
}

void AgentLink::send(std::string line)
{
    if (!stream_)
        return;
    if (stream_->queuedBytes() > kMostUnsent) {
        lost();
        return;
    }
    stream_->send(std::move(line));
}

} // namespace foxtailturn::gateway
