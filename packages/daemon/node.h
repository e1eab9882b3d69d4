#pragma once

// What entries and agents have in common: platform clients, peers, lease, configuration, admin
// server and the controllers that keep them up to date.
//
//     Node node(settings);
//     node.addService(agentServer.service());
//     Result<void> started = node.start();
//     ...
//     node.stop();

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/controller_loop.h"
#include "base/json.h"
#include "base/wall_clock.h"
#include "config/config_follower.h"
#include "daemon/admin_server.h"
#include "daemon/settings.h"
#include "http_storage/http_platform.h"
#include "lease/lease_holder.h"
#include "lease/witness_log.h"
#include "peer/announcer.h"
#include "peer/lease_controller.h"
#include "peer/peer_directory.h"
#include "peer/peer_server.h"

namespace grpc {
class Server;
class Service;
} // namespace grpc

namespace foxtailturn {

// What a role adds to the node. All functions are thread-safe.
struct NodeHooks
{
    Limiter *limiter_ = nullptr; // entries only
    std::function<void()> onShareArrived_;
    std::function<std::string(const std::string &record)> onSuspect_;
    std::function<bool()> isReady_;
    std::function<void(Json &state)> addState_;
    std::function<std::string()> metrics_;
    std::function<void()> drain_;
};

// Thread-safe unless said otherwise.
class Node
{
public:
    explicit Node(const Settings &settings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    // Sets what the role adds. Precondition: before start().
    void setHooks(NodeHooks hooks);

    // Adds a gRPC service. Precondition: before start().
    void addService(grpc::Service *service);

    // Reads membership and configuration once, then starts servers and controllers. Error:
    // InvalidSettings when an address can't be used.
    [[nodiscard]] Result<void> start();

    // Stops controllers, waits for calls in progress and releases the lease.
    void stop();

    // Returns whether the lease was fenced, so that only a new incarnation can serve. Thread-safe.
    [[nodiscard]] bool isFenced() const { return fenced_; }

    // Returns whether the last membership list that could be read has this process as live. Peers
    // give no shares to a process that is not listed. Thread-safe.
    [[nodiscard]] bool isListed() const { return listed_; }

    [[nodiscard]] const std::string &incarnation() const { return incarnation_; }
    [[nodiscard]] const Clock &clock() const { return clock_; }
    [[nodiscard]] const WallClock &wallClock() const { return wallClock_; }
    [[nodiscard]] TableService &table() { return table_; }
    [[nodiscard]] ObjectStore &objects() { return objects_; }
    [[nodiscard]] LeaseHolder &lease() { return lease_; }
    [[nodiscard]] PeerDirectory &peers() { return peers_; }
    [[nodiscard]] WitnessLog &witness() { return witness_; }
    [[nodiscard]] Announcer &announcer() { return announcer_; }
    [[nodiscard]] ConfigFollower &config() { return config_; }
    [[nodiscard]] ControllerLoop &loop() { return loop_; }

    // Returns the revision in force here; 0 before the first. Thread-safe.
    [[nodiscard]] std::uint64_t revision() const;

    // Returns the members with a role, without this process.
    [[nodiscard]] std::vector<Member> membersOf(const std::string &role) const;

private:
    [[nodiscard]] PeerHandlers peerHandlers();
    [[nodiscard]] AnnouncerHooks announcerHooks();
    [[nodiscard]] AdminHandlers adminHandlers();
    [[nodiscard]] std::string stateDump();
    void readMembership();
    void pollConfig();
    void fetchConfigFrom(const std::string &peer);
    void passOnWithdrawals(const std::set<std::string> &keys);
    void startControllers();
    void renewLease();

    Settings settings_;
    std::string incarnation_;
    SystemClock clock_;
    SystemWallClock wallClock_;
    HttpTable table_;
    HttpObjects objects_;
    HttpMembership membership_;
    WitnessLog witness_;
    PeerDirectory peers_;
    LeaseHolder lease_;
    LeaseController leaseController_;
    ConfigFollower config_;
    NodeHooks hooks_;
    Announcer announcer_;
    std::unique_ptr<PeerServer> peerServer_;
    std::vector<grpc::Service *> services_;
    std::unique_ptr<grpc::Server> grpcServer_;
    AdminServer admin_;
    std::atomic<bool> fenced_ = false;
    std::atomic<bool> listed_ = false;
    TimePoint pollAt_; // of the configuration; used by one controller
    ControllerLoop loop_;
};

} // namespace foxtailturn
