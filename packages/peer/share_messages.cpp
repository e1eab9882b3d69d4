#include "peer/share_messages.h"

namespace foxtailturn {

wire::ShareRequest toWire(const ShareRequest &request)
{
    wire::ShareRequest message;
    message.set_workspace(request.workspace_);
    message.set_requester(request.requester_);
    message.set_receiver(request.receiver_);
    message.set_need_level(request.missingLevel_);
    message.set_need_units(request.missingUnits_);
    message.set_waited_micros(request.waitedMicros_);
    message.set_units(request.units_);
    message.set_level(request.level_);
    message.set_demand(request.demand_);
    return message;
}

ShareRequest fromWire(const wire::ShareRequest &message)
{
    ShareRequest request;
    request.workspace_ = message.workspace();
    request.requester_ = message.requester();
    request.receiver_ = message.receiver();
    request.missingLevel_ = message.need_level();
    request.missingUnits_ = message.need_units();
    request.waitedMicros_ = message.waited_micros();
    request.units_ = message.units();
    request.level_ = message.level();
    request.demand_ = message.demand();
    return request;
}

wire::ShareTransfer toWire(const ShareTransfer &transfer)
{
    wire::ShareTransfer message;
    message.set_workspace(transfer.workspace_);
    message.set_sender(transfer.sender_);
    message.set_receiver(transfer.receiver_);
    message.set_sequence(transfer.sequence_);
    message.set_units(transfer.units_);
    message.set_level(transfer.level_);
    return message;
}

ShareTransfer fromWire(const wire::ShareTransfer &message)
{
    ShareTransfer transfer;
    transfer.workspace_ = message.workspace();
    transfer.sender_ = message.sender();
    transfer.receiver_ = message.receiver();
    transfer.sequence_ = message.sequence();
    transfer.units_ = message.units();
    transfer.level_ = message.level();
    return transfer;
}

wire::ShareAck toWire(const ShareAck &ack)
{
    wire::ShareAck message;
    message.set_workspace(ack.workspace_);
    message.set_sender(ack.sender_);
    message.set_receiver(ack.receiver_);
    message.set_sequence(ack.sequence_);
    message.set_accepted(true);
    return message;
}

ShareAck fromWire(const wire::ShareAck &message)
{
    ShareAck ack;
    ack.workspace_ = message.workspace();
    ack.sender_ = message.sender();
    ack.receiver_ = message.receiver();
    ack.sequence_ = message.sequence();
    return ack;
}

wire::NetRequest toWire(const NetRequest &request)
{
    wire::NetRequest message;
    message.set_workspace(request.workspace_);
    for (const std::string &holder : request.fenced_)
        message.add_fenced(holder);
    return message;
}

NetRequest fromWire(const wire::NetRequest &message)
{
    return {message.workspace(), {message.fenced().begin(), message.fenced().end()}};
}

wire::NetReply toWire(const NetReport &report)
{
    wire::NetReply message;
    message.set_reporter(report.reporter_);
    for (const auto &[holder, net] : report.netUnits_)
        (*message.mutable_nets())[holder] = net;
    return message;
}

NetReport fromWire(const wire::NetReply &message, const std::string &workspace)
{
    NetReport report;
    report.workspace_ = workspace;
    report.reporter_ = message.reporter();
    report.netUnits_ = {message.nets().begin(), message.nets().end()};
    return report;
}

} // namespace foxtailturn
