#pragma once

// Reads the answer of one attempt from an agent and resumes it over a new connection if the current
// one breaks or becomes unresponsive.
//
//     FrameStream stream(link, watchdog, clock, request, deadline);
//     for (;;) {
//         StreamEvent event = stream.next();
//         if (event.kind_ == StreamEvent::Kind::Data) ...
//     }

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <grpcpp/client_context.h>
#include <grpcpp/support/sync_stream.h>

#include "base/error.h"
#include "entry/agent_link.h"
#include "entry/stream_watchdog.h"
#include "foxtailturn.grpc.pb.h"

namespace foxtailturn {

struct StreamHead
{
    int status_ = 0;
    std::string contentType_;
    std::string servedBy_;
    bool replayed_ = false;

    bool operator==(const StreamHead &) const = default;
};

struct StreamEvent
{
    enum class Kind { Head, Data, Progress, End, Failure };

    Kind kind_ = Kind::Progress;
    StreamHead head_;
    std::string data_;
    std::uint64_t usedTokens_ = 0;
    std::optional<Error> failure_;

    bool operator==(const StreamEvent &) const = default;
};

// One attempt of one request. Used by one thread.
class FrameStream
{
public:
    // request carries id, attempt and the agent's incarnation. All references must outlive this.
    FrameStream(AgentLink &link, StreamWatchdog &watchdog, const Clock &clock,
                wire::ExecuteRequest request, TimePoint deadline);

    // Cancels the execution unless it has ended.
    ~FrameStream();
    FrameStream(const FrameStream &) = delete;
    FrameStream &operator=(const FrameStream &) = delete;

    // Returns the next event; blocks until there is one. Frames of another request or attempt and
    // data that was received before are dropped. Must not be called again after End or Failure. A
    // lost connection is NotRun only if Execute was not sent or the agent has confirmed that the
    // execution never started and never will.
    [[nodiscard]] StreamEvent next();

    // Returns the number of frames dropped so far, for metrics.
    [[nodiscard]] std::uint64_t droppedFrames() const { return droppedFrames_; }

    // Returns how often the stream was resumed.
    [[nodiscard]] std::uint64_t resumeCount() const { return resumeCount_; }

private:
    void open();
    void closeReader();
    [[nodiscard]] std::optional<StreamEvent> accept(wire::Frame &frame);
    [[nodiscard]] std::optional<StreamEvent> acceptData(wire::Frame &frame);
    [[nodiscard]] std::optional<StreamEvent> handleConnectionLoss();
    [[nodiscard]] StreamEvent failConnectionLost();
    [[nodiscard]] StreamEvent fail(Error error);
    [[nodiscard]] bool cancelExecution();

    AgentLink *link_;
    StreamWatchdog *watchdog_;
    const Clock *clock_;
    wire::ExecuteRequest request_;
    TimePoint deadline_;
    std::shared_ptr<grpc::Channel> channel_;
    std::unique_ptr<grpc::ClientContext> context_;
    std::unique_ptr<grpc::ClientReader<wire::Frame>> reader_;
    std::shared_ptr<StreamWatch> watch_;
    bool executeSent_ = false; // Execute may have reached the agent
    bool headReceived_ = false;
    bool ended_ = false;
    std::uint64_t offset_ = 0;
    std::uint64_t droppedFrames_ = 0;
    std::uint64_t resumeCount_ = 0;
    std::optional<TimePoint> resumeDeadline_; // set while the connection is lost
};

} // namespace foxtailturn
