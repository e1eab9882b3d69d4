#include "net/byte_stream.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>

namespace foxtailturn {

namespace {

constexpr std::size_t kReadBytes = 65'536;
// A peer that takes none of the queued bytes for this long gets no more.
constexpr Duration kFlushTime = std::chrono::seconds(10);
// What is read and discarded behind the last byte that was sent.
constexpr Duration kLingerTime = std::chrono::seconds(1);
constexpr std::size_t kMaxLingerBytes = 1'048'576;

std::array<char, kReadBytes> &readBuffer()
{
    // On the heap, as each thread of a process has its thread-local objects, used or not.
    thread_local const auto buffer = std::make_unique<std::array<char, kReadBytes>>();
    return *buffer;
}

} // namespace

ByteStream::ByteStream(asio::ip::tcp::socket socket)
    : socket_(std::move(socket))
{
    asio::error_code ignored; // a broken connection fails on the first read
    socket_.non_blocking(true, ignored);
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

std::shared_ptr<ByteStream> ByteStream::create(asio::ip::tcp::socket socket)
{
    return std::shared_ptr<ByteStream>(new ByteStream(std::move(socket)));
}

void ByteStream::start(DataHandler onData, CloseHandler onClose)
{
    onData_ = std::move(onData);
    onClose_ = std::move(onClose);
    waitReadable();
}

void ByteStream::resume()
{
    if (!isPaused_)
        return;
    isPaused_ = false;
    waitReadable();
}

void ByteStream::waitReadable()
{
    if (isReading_ || isPaused_ || (isFinishing_ && !isSendingEnded_) || !isOpen())
        return;
    isReading_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](const asio::error_code &error) {
                           self->isReading_ = false;
                           if (error)
                               self->fail(error);
                           else
                               self->read();
                       });
}

void ByteStream::read()
{
    while (isOpen() && !isPaused_ && (!isFinishing_ || isSendingEnded_)) {
        asio::error_code error;
        const std::size_t size = socket_.read_some(asio::buffer(readBuffer()), error);
        if (error == asio::error::would_block)
            break;
        if (error) {
            // A write that fails with broken_pipe follows an orderly end of the peer's bytes.
            const bool hidesReset =
                error == asio::error::eof && writeError_ && writeError_ != asio::error::broken_pipe;
            fail(hidesReset ? writeError_ : error);
            return;
        }
        if (isSendingEnded_) {
            discardedBytes_ += size;
            if (discardedBytes_ > kMaxLingerBytes)
                close();
        } else if (onData_)
            onData_(std::string_view(readBuffer().data(), size));
        if (size < kReadBytes)
            break; // the next wait shows whether there is more
    }
    waitReadable();
}

void ByteStream::send(std::string data)
{
    enqueue({std::move(data), nullptr});
}

void ByteStream::send(std::shared_ptr<const std::string> data)
{
    enqueue({{}, std::move(data)});
}

void ByteStream::enqueue(Outgoing data)
{
    if (!isOpen() || data.text().empty() || isFinishing_)
        return;
    queuedBytes_ += data.text().size();
    queue_.push_back(std::move(data));
    if (!isWriting_)
        write();
    setQueuedBytes(queuedBytes_);
}

void ByteStream::setQueuedBytes(std::size_t bytes)
{
    queuedBytes_ = bytes;
    if (hold_)
        hold_->set(bytes);
}

void ByteStream::setReceiveBuffer(int bytes)
{
    asio::error_code ignored; // the system's own size bounds it, too
    socket_.set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
}

std::string ByteStream::peerAddress() const
{
    asio::error_code error;
    const asio::ip::tcp::endpoint peer = socket_.remote_endpoint(error);
    return error ? std::string() : peer.address().to_string();
}

void ByteStream::write()
{
    while (!queue_.empty() && isOpen()) {
        const std::string &front = queue_.front().text();
        asio::error_code error;
        const std::size_t size = socket_.write_some(
            asio::buffer(front.data() + frontOffset_, front.size() - frontOffset_), error);
        if (error && error != asio::error::would_block) {
            writeError_ = error;
            // Deferred, so that no handler runs within send().
            asio::post(socket_.get_executor(),
                       [self = shared_from_this(), error] { self->fail(error); });
            return;
        }
        frontOffset_ += size;
        queuedBytes_ -= size;
        if (frontOffset_ == front.size()) {
            queue_.pop_front();
            frontOffset_ = 0;
            continue;
        }
        isWriting_ = true;
        socket_.async_wait(asio::ip::tcp::socket::wait_write,
                           [self = shared_from_this()](const asio::error_code &failure) {
                               self->isWriting_ = false;
                               if (failure) {
                                   self->fail(failure);
                                   return;
                               }
                               self->write();
                               self->setQueuedBytes(self->queuedBytes_);
                               if (self->queue_.empty() && self->onDrain_ && !self->isFinishing_)
                                   self->onDrain_();
                           });
        return;
    }
    if (queue_.empty() && isFinishing_)
        endSending();
}

bool ByteStream::hasUnreadBytes() const
{
    asio::error_code error;
    return socket_.available(error) > 0 && !error;
}

bool ByteStream::hasPeerClosed()
{
    const asio::error_code error = peek();
    return error && error != asio::error::would_block;
}

bool ByteStream::hasUnread()
{
    return peek() != asio::error::would_block;
}

asio::error_code ByteStream::peek()
{
    if (!isOpen())
        return asio::error::eof;
    char byte = 0;
    asio::error_code error;
    socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error;
}

void ByteStream::finish()
{
    if (!isOpen() || isFinishing_)
        return;
    isFinishing_ = true;
    if (queue_.empty())
        endSending();
    else
        armFinishTimer(kFlushTime);
}

void ByteStream::endSending()
{
    if (isSendingEnded_ || !isOpen())
        return;
    isSendingEnded_ = true;
    isPaused_ = false;
    setLinger(false);
    asio::error_code ignored; // the peer has closed already
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    armFinishTimer(kLingerTime);
    waitReadable();
}

void ByteStream::resetUnlessFinished()
{
    setLinger(true);
}

void ByteStream::setLinger(bool isReset)
{
    asio::error_code ignored; // a broken connection ends without it
    socket_.set_option(asio::socket_base::linger(isReset, 0), ignored);
}

void ByteStream::armFinishTimer(Duration wait)
{
    if (!finishTimer_)
        finishTimer_ = std::make_unique<asio::steady_timer>(socket_.get_executor());
    finishTimer_->expires_after(wait);
    finishTimer_->async_wait(
        [self = shared_from_this(), queued = queuedBytes_](const asio::error_code &error) {
            if (error || !self->isOpen())
                return;
            if (!self->isSendingEnded_ && self->queuedBytes_ < queued)
                self->armFinishTimer(kFlushTime);
            else
                self->close();
        });
}

void ByteStream::close()
{
    if (!isOpen())
        return;
    finishTimer_.reset();
    asio::error_code ignored; // nothing can be done about a failed close
    socket_.close(ignored);
    queue_.clear();
    setQueuedBytes(0);
    // Handlers may be running now, so they are destroyed later.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->onData_ = nullptr;
        self->onClose_ = nullptr;
        self->onDrain_ = nullptr;
    });
}

void ByteStream::reset()
{
    if (!isOpen())
        return;
    setLinger(true);
    close();
}

void ByteStream::recordLastSegmentAge()
{
#ifdef __linux__
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0)
        lastSegmentAge_ = std::chrono::milliseconds(info.tcpi_last_ack_recv);
#endif
}

void ByteStream::fail(const asio::error_code &error)
{
    if (!isOpen())
        return;
    if (error == asio::error::eof)
        recordLastSegmentAge();
    const CloseHandler onClose = std::move(onClose_);
    onClose_ = nullptr;
    close();
    if (onClose && !isFinishing_)
        onClose(error);
}

} // namespace foxtailturn
