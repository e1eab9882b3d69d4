#pragma once

// A TCP connection on an event loop with non-blocking reads and writes.
//
//     auto stream = ByteStream::create(std::move(socket));
//     stream->start([self](std::string_view data) { self->onData(data); },
//                   [self](const asio::error_code &error) { self->onClosed(error); });
//     stream->send("...");
//
// All connections of a thread read into one shared buffer, so an idle connection needs no read
// buffer.

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <asio.hpp>

#include "base/clock.h"
#include "memory/memory_account.h"

namespace foxtailturn {

// Not thread-safe: all calls come from the loop's thread. Handlers run on the loop, never within
// send().
class ByteStream : public std::enable_shared_from_this<ByteStream>
{
public:
    using DataHandler = std::function<void(std::string_view data)>;
    using CloseHandler = std::function<void(const asio::error_code &error)>;
    using DrainHandler = std::function<void()>;

    [[nodiscard]] static std::shared_ptr<ByteStream> create(asio::ip::tcp::socket socket);

    // Starts to read. onClose is called once, unless close() was called before; eof means that the
    // peer shut down its side without an error.
    void start(DataHandler onData, CloseHandler onClose);

    // Calls onDrain each time that the queue of unsent bytes has been written after waiting for the
    // socket.
    void onDrain(DrainHandler onDrain) { onDrain_ = std::move(onDrain); }

    // Stop and continue reading, for backpressure on a peer that sends faster than its bytes can be
    // processed.
    void pause() { isPaused_ = true; }
    void resume();

    // Queues bytes, and writes as many as the socket accepts without blocking.
    void send(std::string data);

    // The same without a copy, for data that its owner keeps anyway.
    void send(std::shared_ptr<const std::string> data);

    // Sets the size of the socket's receive buffer, which the system adapts otherwise.
    void setReceiveBuffer(int bytes);

    // Counts the queue of unsent bytes in the account.
    void account(memory::MemoryAccount &account, memory::MemoryKind kind)
    {
        hold_.emplace(account, kind);
    }

    // Returns the address of the peer without its port; empty if it is not known any more.
    [[nodiscard]] std::string peerAddress() const;

    // Closes after all queued bytes are written. Bytes that still arrive are discarded for a while
    // before that, as unread ones would reset the connection and so take the last bytes from the
    // peer. No handler is called afterwards.
    void finish();

    // From now on only finish() closes in an orderly way; any other end of the connection, also
    // that of the process, is a TCP reset. For messages that only the close ends.
    void resetUnlessFinished();

    // Closes immediately. No handler is called afterwards.
    void close();

    // Closes immediately with a TCP reset, so that the peer can not mistake a partial message for a
    // complete one.
    void reset();

    // Returns whether the peer has closed, even if the loop has not processed that yet. Costs one
    // system call. Unread received bytes hide the close.
    [[nodiscard]] bool hasPeerClosed();

    // Returns whether bytes of the peer wait to be read. Costs one system call. For a timeout that
    // takes a peer for silent: an event loop that is late may run the timer's handler before that
    // of the bytes, as one poll returns a limited number of events, but all timers.
    //
    //     void Link::onIdle()
    //     {
    //         if (stream_->hasUnreadBytes())
    //             armIdleTimer(); // not silent; the bytes are about to be read
    //         else
    //             drop();
    //     }
    [[nodiscard]] bool hasUnreadBytes() const;

    // Returns whether bytes of the peer or its close wait to be read. Costs one system call.
    [[nodiscard]] bool hasUnread();

    // Returns how long ago the system got the peer's last segment, as of the end of the connection,
    // if the system tells: however late the close is handled, the peer sent it no later.
    [[nodiscard]] std::optional<Duration> lastSegmentAge() const { return lastSegmentAge_; }

    [[nodiscard]] bool isOpen() const { return socket_.is_open(); }
    [[nodiscard]] std::size_t queuedBytes() const { return queuedBytes_; }

private:
    explicit ByteStream(asio::ip::tcp::socket socket);

    struct Outgoing
    {
        std::string own_;
        std::shared_ptr<const std::string> shared_; // in place of own_ unless null

        [[nodiscard]] const std::string &text() const { return shared_ ? *shared_ : own_; }
    };

    void enqueue(Outgoing data);
    void setQueuedBytes(std::size_t bytes);
    [[nodiscard]] asio::error_code peek();
    void recordLastSegmentAge();
    void waitReadable();
    void read();
    void write();
    void endSending();
    void setLinger(bool isReset);
    void armFinishTimer(Duration wait);
    void fail(const asio::error_code &error);

    asio::ip::tcp::socket socket_;
    DataHandler onData_;
    CloseHandler onClose_;
    DrainHandler onDrain_;
    std::deque<Outgoing> queue_;
    std::size_t frontOffset_ = 0; // bytes written of the first queue element
    std::size_t queuedBytes_ = 0;
    std::optional<memory::MemoryHold> hold_;
    bool isPaused_ = false;
    bool isReading_ = false;
    bool isWriting_ = false;
    bool isFinishing_ = false;
    bool isSendingEnded_ = false;
    std::size_t discardedBytes_ = 0; // after the end of sending
    asio::error_code writeError_; // the system reports a reset once, to a read or to a write
    std::unique_ptr<asio::steady_timer> finishTimer_;
    std::optional<Duration> lastSegmentAge_;
};

} // namespace foxtailturn
