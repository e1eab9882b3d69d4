#pragma once

// The gRPC service that each process provides to its peers.
//
//     PeerServer server(handlers);
//     builder.RegisterService(server.service());

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "config/config_follower.h"
#include "lease/witness_log.h"
#include "limiter/limiter.h"

namespace grpc {
class Service;
} // namespace grpc

namespace foxtailturn {

namespace wire {
class Announcement;
class AnnouncementReply;
} // namespace wire

// State and callbacks of the process that the service uses. All functions must be thread-safe.
struct PeerHandlers
{
    WitnessLog *witness_ = nullptr;
    Limiter *limiter_ = nullptr; // null in agents
    std::function<void()> onShareArrived_; // called after each transfer was processed
    std::function<std::uint64_t()> revision_;
    std::function<void(const wire::Announcement &, wire::AnnouncementReply &)> onAnnouncement_;
    std::function<std::optional<ConfigOffer>()> config_; // the configuration that this process has
};

// Thread-safe.
class PeerServer
{
public:
    // Everything in handlers must outlive the server.
    explicit PeerServer(PeerHandlers handlers);
    ~PeerServer();

    // Returns the service for grpc::ServerBuilder.
    [[nodiscard]] grpc::Service *service();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace foxtailturn
