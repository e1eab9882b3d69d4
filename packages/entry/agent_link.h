#pragma once

// The gRPC connection from an entry to one agent.
//
//     AgentLink link("10.0.0.7:9080", security);
//     auto channel = link.channel();
//     ...the connection went silent...
//     link.replace(channel);

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

    // Opens a new connection unless another thread has replaced `broken` already. Calls that run on
    // the old one are not disturbed. Thread-safe.
    void replace(const std::shared_ptr<grpc::Channel> &broken);

    // Waits until the connection is up; false at the deadline. Thread-safe.
    [[nodiscard]] bool waitUntilConnected(Duration timeout);

    [[nodiscard]] const std::string &address() const { return address_; }

private:
    std::string address_;
    TransportSecurity security_;
    std::mutex mutex_;
    std::shared_ptr<grpc::Channel> channel_;
};

} // namespace foxtailturn
