#pragma once

// The gRPC connection from an entry to one agent.
//
//     AgentLink link("10.0.0.7:9080", security);
//     auto channel = link.channel();
//     link.replace(channel);   // after the connection broke or became unresponsive

#include <memory>
#include <mutex>
#include <string>

#include "wire/channel.h"

namespace foxtailturn {

// Thread-safe.
class AgentLink
{
public:
    // Opens the first connection in the background.
    AgentLink(std::string address, TransportSecurity security);

    // Returns the current connection. Thread-safe.
    [[nodiscard]] std::shared_ptr<grpc::Channel> channel();

    // Replaces the connection unless another thread has replaced `broken` already. Calls in flight
    // on the old connection are not affected. Thread-safe.
    void replace(const std::shared_ptr<grpc::Channel> &broken);

    // Waits until the connection is ready; returns false after the timeout. Thread-safe.
    [[nodiscard]] bool waitUntilConnected(Duration timeout);

    [[nodiscard]] const std::string &address() const { return address_; }

private:
    std::string address_;
    TransportSecurity security_;
    std::mutex mutex_;
    std::shared_ptr<grpc::Channel> channel_;
};

} // namespace foxtailturn
