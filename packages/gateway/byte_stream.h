#pragma once

// A TCP connection on an event loop: reads as bytes arrive, writes without blocking.
//
//     auto stream = ByteStream::create(std::move(socket));
//     stream->start([self](std::string_view data) { self->onData(data); },
//                   [self](const asio::error_code &why) { self->onClosed(why); });
//     stream->send("...");
//
// All connections of a loop read into one shared buffer, so an idle one costs no buffer.

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio.hpp>

namespace foxtailturn::gateway {

// Not thread-safe: all calls come from the loop's thread. Handlers run from the loop or from
// resume(), never from send().
class ByteStream : public std::enable_shared_from_this<ByteStream>
{
public:
    using DataHandler = std::function<void(std::string_view data)>;
    using CloseHandler = std::function<void(const asio::error_code &why)>;
    using DrainHandler = std::function<void()>;

    [[nodiscard]] static std::shared_ptr<ByteStream> create(asio::ip::tcp::socket socket);

    // Begins to read. onClose is called once, unless close() came first; eof means that the peer
    // ended its side in order.
    void start(DataHandler onData, CloseHandler onClose);

    // Calls onDrain each time the queue of unsent bytes has become empty.
    void onDrain(DrainHandler onDrain) { onDrain_ = std::move(onDrain); }

    // Stops and continues reading, to slow a peer that sends faster than its bytes can be used.
    void pause() { isPaused_ = true; }
    void resume();

    // Queues bytes and writes what the connection takes at once.
    void send(std::string data);

    // Closes once all queued bytes are written; reads nothing more.
    void finish();

    // Closes now. No handler is called afterwards.
    void close();

    // Closes now with a reset, so that the peer can not take what it has for a whole message.
    void reset();

    // Returns whether the peer has closed, although the loop has not come to notice it. One system
    // call; bytes that wait to be read hide the close.
    [[nodiscard]] bool hasPeerClosed();

    [[nodiscard]] bool isOpen() const { return socket_.is_open(); }
    [[nodiscard]] std::size_t queuedBytes() const { return queuedBytes_; }

private:
    explicit ByteStream(asio::ip::tcp::socket socket);

    void waitReadable();
    void read();
    void write();
    void fail(const asio::error_code &why);

    asio::ip::tcp::socket socket_;
    DataHandler onData_;
    CloseHandler onClose_;
    DrainHandler onDrain_;
    std::deque<std::string> queue_;
    std::size_t offset_ = 0; // written bytes of the queue's front
    std::size_t queuedBytes_ = 0;
    bool isPaused_ = false;
    bool isReading_ = false;
    bool isWriting_ = false;
    bool isFinishing_ = false;
};

} // namespace foxtailturn::gateway
