#pragma once

// Unary calls to peers without waiting for the answer.
//
//     callPeer<wire::ShareAck>(
//         channel, timeout, request,
//         [](auto &async, auto... args) { async.TransferShare(args...); },
//         [](const wire::ShareAck &ack) { ... });
//
// Included by sources of this package only.

#include <atomic>
#include <functional>
#include <memory>
#include <utility>

#include <grpcpp/grpcpp.h>

#include "base/clock.h"
#include "foxtailturn.grpc.pb.h"

namespace foxtailturn {

// Number of calls whose answer has not been handled yet; a process waits for 0 before it destroys
// what the callbacks use.
std::atomic<int> &pendingPeerCalls();

// State of one call, alive until the answer or the timeout has come.
template <typename Request, typename Reply>
struct PeerCall
{
    std::unique_ptr<wire::PeerService::Stub> stub_;
    grpc::ClientContext context_;
    Request request_;
    Reply reply_;
};

// Sends the request by `method` and calls onReply in a gRPC thread when an answer comes in time. A
// failed call is dropped. Thread-safe.
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
