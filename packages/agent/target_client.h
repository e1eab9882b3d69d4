#pragma once

// Sends requests to the agent's target.
//
//     HttpTargetClient client("10.0.0.7", 8000, clock);
//     Result<void> done = client.call(request, sink);

#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/error.h"
#include "http1/http_exchange.h"
#include "http1/target_sink.h"

namespace foxtailturn {

// A request as sent to the target. It never contains a caller's API key.
struct TargetRequest
{
    std::string method_;
    std::string path_;
    std::string contentType_;
    std::string body_;
    std::string idempotencyKey_;
    std::string workspace_; // sent as the header X-Foxtailturn-Workspace unless empty
    TimePoint deadline_;

    bool operator==(const TargetRequest &) const = default;
};

// Client interface of a target, independent of the protocol.
class TargetClient
{
public:
    virtual ~TargetClient() = default;

    // Calls the target once and passes its answer to sink. Errors: TargetFailed with NotRun if no
    // connection was made, so that the target did not receive the call; TargetCrashed,
    // TargetFailed, TargetTimeout or Cancelled with OutcomeUnknown otherwise. Never retries.
    // Thread-safe.
    [[nodiscard]] virtual Result<void> call(const TargetRequest &request, TargetSink &sink) = 0;
};

// HTTP client of one target. Each call opens a new connection, so that no call fails because the
// target closes an idle connection at the same time. Thread-safe.
class HttpTargetClient final : public TargetClient
{
public:
    // clock must outlive the client.
    HttpTargetClient(std::string host, int port, const Clock &clock);

    Result<void> call(const TargetRequest &request, TargetSink &sink) override;

    // Returns whether the target responds to GET /health, with any status, within its timeouts of
    // 300 ms. Thread-safe.
    [[nodiscard]] bool isReachable() const;

private:
    HttpExchange exchange_;
    const Clock *clock_;
};

} // namespace foxtailturn
