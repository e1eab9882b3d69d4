#pragma once

// An entry's connection to the sidecar of one engine, or to another entry.
//
//     auto link = std::make_shared<AgentLink>(context, "10.0.0.7:7600", handlers);
//     link->start();
//     link->send(encode(LoadRequest{...}));
//
// A link reconnects automatically, with exponential backoff and jitter. By default it closes a
// connection that receives nothing for kDefaultIdleTimeout, since a sidecar reports several times a
// second.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/agent_messages.h"
#include "gateway/reconnect_backoff.h"
#include "net/byte_stream.h"

namespace foxtailturn::gateway {

// Not thread-safe.
class AgentLink : public std::enable_shared_from_this<AgentLink>
{
public:
    static constexpr Duration kDefaultIdleTimeout = std::chrono::milliseconds(1500);
    static constexpr Duration kNoIdleTimeout =
        Duration::max(); // for a peer that only answers requests

    struct Handlers
    {
        std::function<void(bool isLinked)> onState_;
        std::function<void(const AgentMessage &message)> onMessage_;
        // If set, it gets the lines in place of onMessage_, undecoded, and the link reads no
        // further until resume(). So lines that wait to be decoded are bounded by what one read
        // returns, and the peer's by its own queue.
        std::function<void(std::vector<std::string> lines)> onLines_;
    };

    // context must outlive the link.
    AgentLink(asio::io_context &context, std::string address, Handlers handlers,
              Duration idleTimeout = kDefaultIdleTimeout);

    void start();
    void stop();

    // Closes the connection and opens a new one after the backoff.
    void reconnect() { dropConnection(); }

    // Reads on after onLines_.
    void resume();

    // Sends a line if connected; otherwise discards it, as a line sent on a broken connection would
    // be lost too.
    void send(std::string line);

    [[nodiscard]] bool isConnected() const { return stream_ != nullptr; }

private:
    void connect();
    void onConnected(const asio::error_code &error);
    void onData(std::string_view data);
    void dropConnection();
    void armTimer(Duration wait);
    void armIdleTimer();

    asio::io_context &context_;
    std::string address_;
    Handlers handlers_;
    Duration idleTimeout_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::shared_ptr<ByteStream> stream_;
    std::string buffer_;
    ReconnectBackoff backoff_;
    bool isStopped_ = false;
};

} // namespace foxtailturn::gateway
