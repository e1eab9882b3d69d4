#pragma once

// A TCP relay that injects network faults between two processes.
//
//     TcpRelay relay("127.0.0.1", 0, {"127.0.0.1", targetPort});
//     relay.setMode({RelayMode::Silent});
//     connect to relay.port()
//
// Modes: pass; delay (each piece of data waits); cut (connections are reset, new ones too); silent
// (connections are accepted and held, nothing is forwarded, not even their end); silence_open (the
// connections open now stay silent for good, new ones pass). After delay or silent, held data goes
// on when the mode changes to pass.

#include <cstdint>
#include <memory>
#include <string>

#include "stub_lib/stub_server.h"

namespace foxtailturn {

enum class RelayMode { Pass, Delay, Cut, Silent, SilenceOpen };

struct RelaySetting
{
    RelayMode mode_ = RelayMode::Pass;
    int delayMs_ = 0; // for Delay

    bool operator==(const RelaySetting &) const = default;
};

struct RelayStats
{
    std::uint64_t accepted_ = 0;
    std::uint64_t open_ = 0;
    std::uint64_t forwardedBytes_ = 0;

    bool operator==(const RelayStats &) const = default;
};

// Thread-safe. Runs on a thread of its own.
class TcpRelay
{
public:
    // Listens on host and port (0: any free port). Throws std::system_error if it can't.
    TcpRelay(const std::string &host, int port, const HostPort &target);
    ~TcpRelay();
    TcpRelay(const TcpRelay &) = delete;
    TcpRelay &operator=(const TcpRelay &) = delete;

    [[nodiscard]] int port() const;

    // Returns when the mode applies to all connections.
    void setMode(const RelaySetting &setting);

    [[nodiscard]] RelayStats stats();

private:
    class Impl;

    std::unique_ptr<Impl> impl_;
};

} // namespace foxtailturn
