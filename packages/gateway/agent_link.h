#pragma once

// An entry's connection to the process beside one engine, or to another entry.
//
//     AgentLink link(context, clock, "10.0.0.7:7600", handlers);
//     link.start();
//     link.send(encode(LoadRequest{...}));
//
// It reconnects by itself. A link to a process that reports several times a second is given up when
// it is silent for kSilence.

#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "gateway/agent_messages.h"
#include "gateway/byte_stream.h"

namespace foxtailturn::gateway {

// Not thread-safe.
class AgentLink : public std::enable_shared_from_this<AgentLink>
{
public:
    static constexpr Duration kSilence = std::chrono::milliseconds(1500);
    static constexpr Duration kNoSilence = Duration::max(); // the other side speaks when asked

    struct Handlers
    {
        std::function<void(bool isLinked)> onState_;
        std::function<void(const AgentMessage &message)> onMessage_;
    };

    // context must outlive the link.
    AgentLink(asio::io_context &context, std::string address, Handlers handlers,
              Duration silence = kSilence);

    void start();
    void stop();

    // Gives the connection up and makes a new one.
    void renew() { lost(); }

    // Sends a line if connected; otherwise it is lost, as a request on a broken link would be.
    void send(std::string line);

    [[nodiscard]] bool isConnected() const { return stream_ != nullptr; }

private:
    void connect();
    void onConnected(const asio::error_code &why);
    void onData(std::string_view data);
    void lost();
    void armTimer(Duration wait);
    void armSilenceTimer();

    asio::io_context &context_;
    std::string address_;
    Handlers handlers_;
    Duration silence_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::shared_ptr<ByteStream> stream_;
    std::string buffer_;
    int failures_ = 0;
    bool isStopped_ = false;
};

} // namespace foxtailturn::gateway
