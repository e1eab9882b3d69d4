#include "gateway/gateway_callers.h"

#include <utility>

namespace foxtailturn::gateway {

CallerLimits GatewayCallers::limits() const
{
    return gateway_.config() ? gateway_.config()->limits_ : CallerLimits();
}

callers::Admission GatewayCallers::admit(const MessageHead &head, std::string body,
                                         TimePoint receivedAt, callers::AnswerSink &answer)
{
    auto admission = gateway_.admit(head, std::move(body), receivedAt);
    if (Refusal *refusal = std::get_if<Refusal>(&admission))
        return std::move(*refusal);
    return std::make_shared<Relay>(gateway_, std::move(std::get<AdmittedRequest>(admission)),
                                   answer);
}

std::string GatewayCallers::requestIdOf(const MessageHead &head) const
{
    const Result<CallerRequest> request = gateway_.codec().decodeRequest(head);
    return request ? request->id_ : std::string();
}

std::string GatewayCallers::workspaceOf(const MessageHead &head) const
{
    if (!gateway_.config())
        return {};
    const Result<CallerRequest> request = gateway_.codec().decodeRequest(head);
    const Workspace *workspace =
        request ? gateway_.config()->findWorkspace(request->key_) : nullptr;
    return workspace == nullptr ? std::string() : workspace->name_;
}

std::string GatewayCallers::refusalText(const Refusal &refusal) const
{
    return gateway_.codec().refusal(refusal);
}

void GatewayCallers::countRefusal(const Refusal &refusal)
{
    gateway_.countAnswer(nullptr, refusal.status_, refusal.code_);
}

void GatewayCallers::logUnreadRequest(const Refusal &refusal)
{
    gateway_.log().write(
        LogDetail::Full, "refused",
        {{"request", refusal.requestId_}, {"status", refusal.status_}, {"code", refusal.code_}});
}

void GatewayCallers::recordShed(std::string_view reason, const memory::Holder &holder,
                                std::size_t connections)
{
    gateway_.metrics()
        .counter("foxtailturn_shed_callers_total", "callers refused or closed for want of room",
                 {{"reason", std::string(reason)}})
        .add();
    if (gateway_.log().admits(LogDetail::Full, "caller_shed"))
        gateway_.log().write(LogDetail::Full, "caller_shed",
                             {{"reason", reason},
                              {"owner", holder.owner_},
                              {"bytes", holder.bytes_},
                              {"held_bytes", gateway_.memory().total()},
                              {"connections", connections}});
}

void GatewayCallers::recordAcceptFailure(const std::string &what)
{
    gateway_.log().write(LogDetail::Full, "accept_failed", {{"what", what}});
}

} // namespace foxtailturn::gateway
