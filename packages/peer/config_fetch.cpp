#include "peer/config_fetch.h"

#include "peer/async_call.h"

namespace foxtailturn {

std::optional<ConfigOffer> fetchConfig(const std::shared_ptr<grpc::Channel> &channel,
                                       std::uint64_t revision, Duration timeout)
{
    if (!channel)
        return std::nullopt;
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + timeout);
    wire::ConfigRequest request;
    request.set_revision(revision);
    wire::ConfigReply reply;
    const auto stub = wire::PeerService::NewStub(channel);
    const grpc::Status status = stub->FetchConfig(&context, request, &reply);
    if (!status.ok() || !reply.found())
        return std::nullopt;
    return ConfigOffer{reply.revision(), reply.digest(), reply.content()};
}

int pendingPeerCallCount()
{
    return pendingPeerCalls();
}

} // namespace foxtailturn
