#include "entry/frame_stream.h"

#include <algorithm>
#include <thread>
#include <utility>

#include <grpcpp/grpcpp.h>

#include "wire/convert.h"

namespace foxtailturn {

namespace {

// Agents send a frame at least every 0.5 s, so two missing ones indicate an unresponsive
// connection. Including the reconnect, the loss is detected and the stream resumed within 2 s.
constexpr auto kFrameTimeout = std::chrono::milliseconds(1'200);
constexpr auto kConnectTimeout = std::chrono::milliseconds(500);
constexpr auto kResumeWindow = std::chrono::seconds(4);
constexpr auto kResumeInterval = std::chrono::milliseconds(50);
constexpr auto kCancelTimeout = std::chrono::milliseconds(500);

} // namespace

FrameStream::FrameStream(AgentLink &link, StreamWatchdog &watchdog, const Clock &clock,
                         wire::ExecuteRequest request, TimePoint deadline)
    : link_(&link)
    , watchdog_(&watchdog)
    , clock_(&clock)
    , request_(std::move(request))
    , deadline_(deadline)
{ }

FrameStream::~FrameStream()
{
    closeReader();
    if (executeSent_ && !ended_)
        (void)cancelExecution();
}

StreamEvent FrameStream::next()
{
    for (;;) {
        const TimePoint now = clock_->now();
        if (now >= deadline_)
            return fail({ErrorCode::DeadlineExceeded,
                         executeSent_ ? Execution::OutcomeUnknown : Execution::NotRun,
                         "request did not finish by its deadline"});
        if (!reader_) {
            if (!link_->waitUntilConnected(kConnectTimeout)) {
                if (auto event = handleConnectionLoss())
                    return *event;
                continue;
            }
            open();
        }
        watch_->setDeadline(std::min(clock_->now() + Duration(kFrameTimeout), deadline_));
        wire::Frame frame;
        const bool received = reader_->Read(&frame);
        watch_->setDeadline(TimePoint::max());
        std::optional<StreamEvent> event = received ? accept(frame) : handleConnectionLoss();
        if (event)
            return *std::move(event);
    }
}

void FrameStream::open()
{
    channel_ = link_->channel();
    context_ = std::make_unique<grpc::ClientContext>();
    watch_ = watchdog_->watch([context = context_.get()] { context->TryCancel(); });
    const auto stub = wire::AgentService::NewStub(channel_);
    if (!executeSent_) {
        executeSent_ = true;
        request_.set_remaining_micros(remainingMicros(deadline_, clock_->now()));
        reader_ = stub->Execute(context_.get(), request_);
        // Clearing the field would keep its memory.
        delete request_.release_body();
        return;
    }
    ++resumeCount_;
    wire::ResumeRequest resume;
    resume.set_request_id(request_.request_id());
    resume.set_attempt(request_.attempt());
    resume.set_incarnation(request_.incarnation());
    resume.set_offset(offset_);
    resume.set_head_seen(headReceived_);
    reader_ = stub->Resume(context_.get(), resume);
}

void FrameStream::closeReader()
{
    if (!reader_)
        return;
    context_->TryCancel();
    watch_->close();
    wire::Frame ignored;
    while (reader_->Read(&ignored)) { }
    reader_->Finish();
    reader_.reset();
    watch_.reset();
    context_.reset();
}

std::optional<StreamEvent> FrameStream::accept(wire::Frame &frame)
{
    if (frame.request_id() != request_.request_id() || frame.attempt() != request_.attempt()) {
        ++droppedFrames_;
        return std::nullopt;
    }
    resumeDeadline_.reset();
    StreamEvent event;
    switch (frame.kind_case()) {
    case wire::Frame::kHead:
        if (headReceived_)
            return std::nullopt;
        headReceived_ = true;
        event.kind_ = StreamEvent::Kind::Head;
        event.head_ = {static_cast<int>(frame.head().status()), frame.head().content_type(),
                       frame.head().served_by(), frame.head().replayed()};
        return event;
    case wire::Frame::kData:
        return acceptData(frame);
    case wire::Frame::kEnd:
        if (frame.end().total_bytes() != offset_)
            return handleConnectionLoss();
        ended_ = true;
        event.kind_ = StreamEvent::Kind::End;
        event.usedTokens_ = frame.end().used_tokens();
        return event;
    case wire::Frame::kFailure:
        return fail(fromWire(frame.failure(), clock_->now()));
    default:
        return event;
    }
}

std::optional<StreamEvent> FrameStream::acceptData(wire::Frame &frame)
{
    const std::uint64_t end = frame.offset() + frame.data().size();
    if (frame.offset() > offset_)
        return handleConnectionLoss();
    if (end <= offset_) {
        ++droppedFrames_;
        return std::nullopt;
    }
    StreamEvent event;
    event.kind_ = StreamEvent::Kind::Data;
    event.data_ = std::move(*frame.mutable_data());
    event.data_.erase(0, offset_ - frame.offset());
    offset_ = end;
    return event;
}

std::optional<StreamEvent> FrameStream::handleConnectionLoss()
{
    const TimePoint now = clock_->now();
    if (!resumeDeadline_)
        resumeDeadline_ = now + kResumeWindow;
    closeReader();
    if (channel_)
        link_->replace(channel_);
    if (!executeSent_)
        return fail({ErrorCode::ConnectionLost, Execution::NotRun, "agent can not be reached"});
    if (now >= *resumeDeadline_)
        return failConnectionLost();
    std::this_thread::sleep_for(kResumeInterval);
    return std::nullopt;
}

StreamEvent FrameStream::failConnectionLost()
{
    // An agent that replies that the execution never started also refuses to start it later, so
    // NotRun is certain.
    const bool neverStarted = cancelExecution();
    return fail({ErrorCode::ConnectionLost,
                 neverStarted ? Execution::NotRun : Execution::OutcomeUnknown,
                 "connection to the agent was lost"});
}

StreamEvent FrameStream::fail(Error error)
{
    if (error.code_ != ErrorCode::DeadlineExceeded)
        ended_ = true;
    StreamEvent event;
    event.kind_ = StreamEvent::Kind::Failure;
    event.failure_ = std::move(error);
    return event;
}

bool FrameStream::cancelExecution()
{
    ended_ = true;
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + kCancelTimeout);
    wire::CancelRequest request;
    request.set_request_id(request_.request_id());
    request.set_attempt(request_.attempt());
    wire::CancelReply reply;
    const auto stub = wire::AgentService::NewStub(link_->channel());
    const grpc::Status status = stub->Cancel(&context, request, &reply);
    return status.ok() && reply.never_started() && reply.incarnation() == request_.incarnation();
}

} // namespace foxtailturn
