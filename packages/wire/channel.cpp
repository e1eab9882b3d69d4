#include "wire/channel.h"

#include <atomic>

#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>

namespace foxtailturn {

namespace {

// gRPC derives TCP_USER_TIMEOUT from the keepalive timeout, so a connection with
// unacknowledged data is also closed after this time.
constexpr int kKeepaliveTimeMs = 1'000;
constexpr int kKeepaliveTimeoutMs = 1'000;
constexpr int kMinPingIntervalMs = 500;
constexpr int kMaxReconnectBackoffMs = 500;
constexpr int kMinReconnectBackoffMs = 100;
constexpr int kMaxMessageBytes = 32 * 1024 * 1024;
constexpr int kStreamWindowBytes = 65'536;

} // namespace

std::shared_ptr<grpc::Channel> openChannel(const std::string &address,
                                           const TransportSecurity &security)
{
    static std::atomic<int> generation = 0;
    grpc::ChannelArguments args;
    args.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveTimeMs);
    args.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMs);
    args.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    args.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    args.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
    args.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
    args.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
    args.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    args.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    args.SetInt("foxtailturn.generation", generation.fetch_add(1));
    args.SetMaxReceiveMessageSize(kMaxMessageBytes);
    // The window of a stream would grow to several MB, which is held for each stream whose caller
    // does not read.
    args.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    args.SetInt(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES, kStreamWindowBytes);
    if (security.isInsecure())
        return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), args);
    grpc::SslCredentialsOptions options;
    options.pem_root_certs = security.authorities_;
    options.pem_private_key = security.privateKey_;
    options.pem_cert_chain = security.certificate_;
    return grpc::CreateCustomChannel(address, grpc::SslCredentials(options), args);
}

std::shared_ptr<grpc::ServerCredentials> serverCredentials(const TransportSecurity &security)
{
    if (security.isInsecure())
        return grpc::InsecureServerCredentials();
    grpc::SslServerCredentialsOptions options(
        GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    options.pem_root_certs = security.authorities_;
    options.pem_key_cert_pairs.push_back({security.privateKey_, security.certificate_});
    return grpc::SslServerCredentials(options);
}

void configureServer(grpc::ServerBuilder &builder, int maxThreads)
{
    grpc::ResourceQuota quota;
    quota.SetMaxThreads(maxThreads);
    builder.SetResourceQuota(quota);
    builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveTimeMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               kMinPingIntervalMs);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
}

} // namespace foxtailturn
