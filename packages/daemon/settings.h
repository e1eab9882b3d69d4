#pragma once

// Settings of foxtailturnd: one JSON file with comments, checked before anything starts.
//
//     Result<Settings> settings = Settings::read("/etc/foxtailturn/entry.json");
//     if (!settings) { print(settings.error().message_); return 2; }

#include <cstdint>
#include <string>

#include "base/error.h"
#include "base/log.h"
#include "wire/channel.h"

namespace foxtailturn {

// An IP address with a port, written "10.0.0.7:8080".
struct Endpoint
{
    std::string host_;
    int port_ = 0;

    bool operator==(const Endpoint &) const = default;

    [[nodiscard]] std::string text() const;

    // Parses "IP:port". Error: InvalidSettings.
    [[nodiscard]] static Result<Endpoint> parse(const std::string &text);
};

enum class Role { Entry, Agent };
enum class TargetKind { Engine, Service };

// The target beside an agent.
struct TargetSettings
{
    std::string name_;
    std::string group_; // target group that the configuration's routes name
    TargetKind kind_ = TargetKind::Engine;
    Endpoint address_;
    std::int64_t slots_ = 32; // adapters that the engine holds at most
    std::int64_t maxRunning_ = 16; // requests that the target runs at most
    std::int64_t maxWaiting_ = 256; // requests that wait at the agent at most
    std::int64_t maxLoads_ = 2; // adapter loads in flight

    bool operator==(const TargetSettings &) const = default;
};

struct Settings
{
    Role role_ = Role::Entry;
    std::string name_; // unique in the fleet, as in the membership list
    std::string dataCentre_;
    Endpoint listen_; // callers; entries only
    Endpoint peerListen_; // gRPC
    Endpoint adminListen_;
    std::string adminToken_;
    Endpoint platform_;
    std::int64_t maxConnections_ = 600; // entries only
    std::int64_t maxBodyBytes_ = 4'194'304; // of a request; entries only
    std::int64_t memoryMb_ = 0; // memory of the VM in MB of 1,048,576 bytes; 0: as the system says
    std::int64_t drainGraceMs_ = 2'000; // time for the balancer to see that an entry is not ready
    std::int64_t stopTimeoutMs_ = 60'000; // longest wait for running requests
    // Lease length. A dead entry's shares are idle for it, so shorter is better for its workspaces;
    // each process writes its row four times in it, so a large fleet needs a longer one.
    std::int64_t leaseMs_ = 3'000;
    TransportSecurity security_;
    LogLevel logLevel_ = LogLevel::Info;
    LogLayout logLayout_ = LogLayout::Text;
    TargetSettings target_; // agents only

    bool operator==(const Settings &) const = default;

    // Returns the memory of the VM. Thread-safe.
    [[nodiscard]] std::size_t memoryBytes() const;

    // Parses and checks settings; source names the text in errors. Error: InvalidSettings, naming
    // the field.
    [[nodiscard]] static Result<Settings> parse(const std::string &text, const std::string &source);

    // Reads a file. Error: InvalidSettings.
    [[nodiscard]] static Result<Settings> read(const std::string &path);
};

} // namespace foxtailturn
