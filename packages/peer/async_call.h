#pragma once

// Asynchronous unary calls to peers.
//
//     callPeer<wire::ShareAck>(
//         channel, timeout, request,
//         [](auto &async, auto... args) { async.TransferShare(args...); },
//         [](const wire::ShareAck &ack) { ... });
//
// Private to this package.

#include <atomic>
#include <functional>
#include <memory>
#include <utility>

#include <grpcpp/grpcpp.h>

#include "base/clock.h"
#include "foxtailturn.grpc.pb.h"

namespace foxtailturn {

// Number of calls whose callback has not completed yet. A process must wait for 0 before it
// destroys objects that the callbacks use.
std::atomic<int> &pendingPeerCalls();

// State of one call, kept alive until the call completes or times out.
template <typename Request, typename Reply>
struct PeerCall
{
    std::unique_ptr<wire::PeerService::Stub> stub_;
    grpc::ClientContext context_;
    Request request_;
    Reply reply_;
};

// Starts the call `method` and invokes onReply on a gRPC thread if a reply arrives in time. Does
// nothing if channel is null. Failed calls are ignored. Thread-safe.
template <typename Reply, typename Request, typename Method, typename OnReply>
void callPeer(const std::shared_ptr<grpc::Channel> &channel, Duration timeout, Request request,
              Method method, OnReply onReply)
{
    if (!channel)
        return;
    auto call = std::make_shared<PeerCall<Request, Reply>>();
    call->stub_ = wire::PeerService::NewStub(channel);
    call->context_.set_deadline(std::chrono::system_clock::now() + timeout);
    call->request_ = std::move(request);
    ++pendingPeerCalls();
    std::function<void(grpc::Status)> done =
        [call, onReply = std::move(onReply)](const grpc::Status &status) {
            if (status.ok())
                onReply(call->reply_);
            --pendingPeerCalls();
        };
    method(*call->stub_->async(), &call->context_, &call->request_, &call->reply_, std::move(done));
}

} // namespace foxtailturn
