#include "entry/agent_link.h"

#include <utility>

#include <grpcpp/grpcpp.h>

namespace foxtailturn {

AgentLink::AgentLink(std::string address, TransportSecurity security)
    : address_(std::move(address))
    , security_(std::move(security))
    , channel_(openChannel(address_, security_))
{
    channel_->GetState(true);
}

std::shared_ptr<grpc::Channel> AgentLink::channel()
{
    const std::lock_guard lock(mutex_);
    return channel_;
}

void AgentLink::replace(const std::shared_ptr<grpc::Channel> &broken)
{
    const std::lock_guard lock(mutex_);
    if (channel_ != broken)
        return;
    channel_ = openChannel(address_, security_);
    channel_->GetState(true);
}

bool AgentLink::waitUntilConnected(Duration timeout)
{
    const std::shared_ptr<grpc::Channel> current = channel();
    if (current->GetState(true) == GRPC_CHANNEL_READY)
        return true;
    return current->WaitForConnected(std::chrono::system_clock::now() + timeout);
}

} // namespace foxtailturn
