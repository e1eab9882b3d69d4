#pragma once

// An entry's connection to the process beside one engine.
//
//     AgentLink link(context, clock, "10.0.0.7:7600", handlers);
//     link.start();
//     link.send(encode(LoadRequest{...}));
//
// It reconnects by itself. A link that is silent for kSilence is given up, since the other side
// reports several times a second.

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

    struct Handlers
    {
        std::function<void(bool isLinked)> onState_;
        std::function<void(const AgentMessage &message)> onMessage_;
    };

    // context must outlive the link.
    AgentLink(asio::io_context &context, std::string address, Handlers handlers);

    void start();
    void stop();

    // Sends a line if connected; otherwise it is lost, as a request on a broken link would be.
    void send(std::string line);

    [[nodiscard]] bool isConnected() const { return stream_ != nullptr; }

private:
    void connect();
    void onConnected(const asio::error_code &why);
    void onData(std::string_view data);
    void lost();
    void armTimer(Duration wait);

    asio::io_context &context_;
    std::string address_;
    Handlers handlers_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::shared_ptr<ByteStream> stream_;
    std::string buffer_;
    int failures_ = 0;
    bool isStopped_ = false;
};

} // namespace foxtailturn::gateway
