#pragma once

// Calls to the target beside the agent.
//
//     HttpTargetClient client("10.0.0.7", 8000, clock);
//     Result<void> done = client.call(request, sink);

#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/error.h"

namespace foxtailturn {

// A call as the target sees it. It never carries a caller's key.
struct TargetRequest
{
    std::string method_;
    std::string path_;
    std::string contentType_;
    std::string body_;
    std::string idempotencyKey_;
    std::string workspace_; // told to plain services as x-foxtailturn-workspace
    TimePoint deadline_;

    bool operator==(const TargetRequest &) const = default;
};

// Receives the answer of a call, in the calling thread.
class TargetSink
{
public:
    virtual ~TargetSink() = default;

    // Each returns false to end the call early.
    virtual bool onHead(int status, const std::string &contentType) = 0;
    virtual bool onData(std::string_view data) = 0;
};

// A target behind any protocol.
class TargetClient
{
public:
    virtual ~TargetClient() = default;

    // Calls the target once and passes its answer to sink. Errors: TargetFailed with NotRun when
    // the target surely did not receive the call; TargetCrashed, TargetFailed, TargetTimeout or
    // Cancelled with OutcomeUnknown otherwise. Never retries. Thread-safe.
    [[nodiscard]] virtual Result<void> call(const TargetRequest &request, TargetSink &sink) = 0;
};

// HTTP client of one target. Each call uses a connection of its own, so that no call fails because
// the target closed an idle connection in the same moment. Thread-safe.
class HttpTargetClient final : public TargetClient
{
public:
    // clock must outlive the client.
    HttpTargetClient(std::string host, int port, const Clock &clock);

    Result<void> call(const TargetRequest &request, TargetSink &sink) override;

    // Returns whether the target accepts connections. Thread-safe.
    [[nodiscard]] bool isReachable() const;

private:
    std::string host_;
    int port_;
    const Clock *clock_;
};

} // namespace foxtailturn
