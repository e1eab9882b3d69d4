#pragma once

// Serves the requests of callers' connections by a gateway.
//
//     GatewayCallers service(gateway);
//     callers::CallerListener listener(service, meter);
//     listener.listen("10.0.0.5:8080");

#include "callers/caller_service.h"
#include "gateway/gateway.h"

namespace foxtailturn::gateway {

// Not thread-safe.
class GatewayCallers final : public callers::CallerService
{
public:
    // The gateway must outlive this object.
    explicit GatewayCallers(Gateway &gateway)
        : gateway_(gateway)
    { }

    asio::io_context &context() override { return gateway_.context(); }
    memory::MemoryAccount &memory() override { return gateway_.memory(); }
    [[nodiscard]] TimePoint now() const override { return gateway_.now(); }
    [[nodiscard]] CallerLimits limits() const override;
    [[nodiscard]] double jitter() override { return gateway_.jitter(); }
    [[nodiscard]] callers::Admission admit(const MessageHead &head, std::string body,
                                           TimePoint receivedAt,
                                           callers::AnswerSink &answer) override;
    [[nodiscard]] std::string requestIdOf(const MessageHead &head) const override;
    [[nodiscard]] std::string workspaceOf(const MessageHead &head) const override;
    [[nodiscard]] std::string refusalText(const Refusal &refusal) const override;
    void countRefusal(const Refusal &refusal) override;
    void logUnreadRequest(const Refusal &refusal) override;
    void recordShed(std::string_view reason, const memory::Holder &holder,
                    std::size_t connections) override;
    void recordAcceptFailure(const std::string &what) override;

private:
    Gateway &gateway_;
};

} // namespace foxtailturn::gateway
