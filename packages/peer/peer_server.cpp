#include "peer/peer_server.h"

#include <utility>

#include <grpcpp/grpcpp.h>

#include "foxtailturn.grpc.pb.h"
#include "peer/share_messages.h"

namespace foxtailturn {

class PeerServer::Impl final : public wire::PeerService::Service
{
public:
    explicit Impl(PeerHandlers handlers)
        : handlers_(std::move(handlers))
    { }

    grpc::Status WitnessContact(grpc::ServerContext *, const wire::WitnessContactRequest *request,
                                wire::WitnessContactReply *reply) override
    {
        const WitnessAnswer answer = handlers_.witness_->onContact(
            {request->holder(), request->witness(), request->round()});
        reply->set_accepted(answer.accepted_);
        reply->set_revision(handlers_.revision_());
        return grpc::Status::OK;
    }

    grpc::Status Fence(grpc::ServerContext *, const wire::FenceRequest *request,
                       wire::FenceReply *reply) override
    {
        const FenceAnswer answer = handlers_.witness_->onFence(
            {request->holder(), request->witness(), request->quiet_micros()});
        reply->set_fenced(answer.fenced_);
        return grpc::Status::OK;
    }

    grpc::Status RequestShare(grpc::ServerContext *, const wire::ShareRequest *request,
                              wire::ShareReply *reply) override
    {
        if (handlers_.limiter_ == nullptr)
            return notAnEntry();
        const auto transfer = handlers_.limiter_->onRequest(fromWire(*request));
        if (transfer)
            *reply->mutable_transfer() = toWire(*transfer);
        return grpc::Status::OK;
    }

    grpc::Status TransferShare(grpc::ServerContext *, const wire::ShareTransfer *transfer,
                               wire::ShareAck *reply) override
    {
        if (handlers_.limiter_ == nullptr)
            return notAnEntry();
        const auto ack = handlers_.limiter_->onTransfer(fromWire(*transfer));
        if (ack)
            *reply = toWire(*ack);
        handlers_.onShareArrived_();
        return grpc::Status::OK;
    }

    grpc::Status AcknowledgeShare(grpc::ServerContext *, const wire::ShareAck *ack,
                                  wire::Empty *) override
    {
        if (handlers_.limiter_ == nullptr)
            return notAnEntry();
        handlers_.limiter_->onAck(fromWire(*ack));
        return grpc::Status::OK;
    }

    grpc::Status ReportNet(grpc::ServerContext *, const wire::NetRequest *request,
                           wire::NetReply *reply) override
    {
        if (handlers_.limiter_ == nullptr)
            return notAnEntry();
        const auto report = handlers_.limiter_->onNetRequest(fromWire(*request));
        if (!report)
            return {grpc::StatusCode::FAILED_PRECONDITION, "no report for these holders"};
        *reply = toWire(*report);
        return grpc::Status::OK;
    }

    grpc::Status Announce(grpc::ServerContext *, const wire::Announcement *announcement,
                          wire::AnnouncementReply *reply) override
    {
        handlers_.onAnnouncement_(*announcement, *reply);
        return grpc::Status::OK;
    }

    grpc::Status FetchConfig(grpc::ServerContext *, const wire::ConfigRequest *request,
                             wire::ConfigReply *reply) override
    {
        const std::optional<ConfigOffer> offer = handlers_.config_();
        const bool isFound = offer && offer->revision_ >= request->revision();
        reply->set_found(isFound);
        if (isFound) {
            reply->set_revision(offer->revision_);
            reply->set_content(offer->canonicalJson_);
            reply->set_digest(offer->digest_);
        }
        return grpc::Status::OK;
    }

private:
    static grpc::Status notAnEntry()
    {
        return {grpc::StatusCode::UNIMPLEMENTED, "this process holds no shares"};
    }

    PeerHandlers handlers_;
};

PeerServer::PeerServer(PeerHandlers handlers)
    : impl_(std::make_unique<Impl>(std::move(handlers)))
{ }

PeerServer::~PeerServer() = default;

grpc::Service *PeerServer::service()
{
    return impl_.get();
}

} // namespace foxtailturn
