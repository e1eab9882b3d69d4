#pragma once

// gRPC channels and credentials between foxtailturn processes.
//
//     auto channel = openChannel("10.0.0.7:9080", security);
//     auto stub = wire::AgentService::NewStub(channel);

#include <memory>
#include <string>

#include "base/error.h"

namespace grpc {
class Channel;
class ServerBuilder;
class ServerCredentials;
} // namespace grpc

namespace foxtailturn {

// PEM texts for TLS with mutual authentication. All empty: no TLS, which must be requested in the
// settings.
struct TransportSecurity
{
    std::string certificate_;
    std::string privateKey_;
    std::string authorities_;

    bool operator==(const TransportSecurity &) const = default;

    [[nodiscard]] bool isInsecure() const { return certificate_.empty(); }
};

// Opens a new connection; two calls never share a TCP connection. Keepalive pings detect
// unresponsive connections. Thread-safe.
[[nodiscard]] std::shared_ptr<grpc::Channel> openChannel(const std::string &address,
                                                         const TransportSecurity &security);

// Returns server credentials; with TLS the peer must present a certificate issued by authorities_.
// Thread-safe.
[[nodiscard]] std::shared_ptr<grpc::ServerCredentials>
serverCredentials(const TransportSecurity &security);

// Sets the keepalive limits that match openChannel().
void configureServer(grpc::ServerBuilder &builder, int maxThreads);

} // namespace foxtailturn
