#include "agent/agent_server.h"

#include <atomic>
#include <utility>

#include <asio/post.hpp>
#include <asio/thread_pool.hpp>
#include <grpcpp/grpcpp.h>

#include "agent/frame_sender.h"
#include "agent/http_engine_orders.h"
#include "base/log.h"
#include "foxtailturn.grpc.pb.h"
#include "memory/byte_budget.h"
#include "wire/convert.h"

namespace foxtailturn {

namespace {

const Logger kLog("agent");

// Of a request in progress: as received, for its thread, for its target, as sent and digested.
constexpr std::size_t kBodyCopies = 5;

void toWire(const AdapterId &id, wire::Adapter &adapter)
{
    adapter.set_id(id.adapter_);
    adapter.set_version(std::strtoull(id.version_.c_str(), nullptr, 10));
}

// Increments a counter for the lifetime of this object.
class ScopedIncrement
{
public:
    explicit ScopedIncrement(std::atomic<std::size_t> &count)
        : count_(&count)
    {
        ++*count_;
    }
    ~ScopedIncrement() { --*count_; }
    ScopedIncrement(const ScopedIncrement &) = delete;
    ScopedIncrement &operator=(const ScopedIncrement &) = delete;

private:
    std::atomic<std::size_t> *count_;
};

} // namespace

class AgentServer::Impl final : public wire::AgentService::Service
{
public:
    Impl(AgentIdentity identity, const Clock &clock, AgentScheduler &scheduler, Executor &executor,
         AdapterObjectNames &objects, const AgentLimits &limits,
         std::function<std::uint64_t()> revision, std::function<bool()> isTargetUp)
        : identity_(std::move(identity))
        , clock_(&clock)
        , scheduler_(&scheduler)
        , executor_(&executor)
        , objects_(&objects)
        , maxExecutions_(limits.maxExecutions_)
        , requestBytes_(limits.maxRequestBytes_)
        , answerBytes_(limits.maxAnswerBytes_)
        , revision_(std::move(revision))
        , isTargetUp_(std::move(isTargetUp))
        , executions_(clock, answerBytes_)
        , pool_(limits.maxExecutions_)
    { }

    ~Impl() override { pool_.join(); }

    grpc::Status Execute(grpc::ServerContext *, const wire::ExecuteRequest *request,
                         grpc::ServerWriter<wire::Frame> *writer) override
    {
        const ExecutionId id{request->request_id(), request->attempt()};
        const std::shared_ptr<memory::ByteShare> share =
            requestBytes_.tryTake(kBodyCopies * request->body().size());
        const Result<StartedExecution> started = admit(*request, id, share != nullptr);
        if (!started) {
            writer->Write(failureFrame(id, started.error(), clock_->now()));
            return grpc::Status::OK;
        }
        if (started->isNew_)
            run(*request, started->answer_, share);
        send(*started->answer_, id, 0, false, *writer);
        return grpc::Status::OK;
    }

    grpc::Status Resume(grpc::ServerContext *, const wire::ResumeRequest *request,
                        grpc::ServerWriter<wire::Frame> *writer) override
    {
        const ExecutionId id{request->request_id(), request->attempt()};
        const std::shared_ptr<AnswerBuffer> answer = executions_.find(id);
        if (!answer || request->offset() > answer->size()) {
            writer->Write(failureFrame(id, unknownExecution(*request, id), clock_->now()));
            return grpc::Status::OK;
        }
        send(*answer, id, request->offset(), request->head_seen(), *writer);
        return grpc::Status::OK;
    }

    grpc::Status Cancel(grpc::ServerContext *, const wire::CancelRequest *request,
                        wire::CancelReply *reply) override
    {
        reply->set_never_started(cancel({request->request_id(), request->attempt()}));
        reply->set_incarnation(identity_.incarnation_);
        return grpc::Status::OK;
    }

    grpc::Status Heartbeat(grpc::ServerContext *, const wire::HeartbeatRequest *,
                           wire::HeartbeatReply *reply) override
    {
        const AgentSnapshot snapshot = scheduler_->snapshot();
        reply->set_target(identity_.target_);
        reply->set_group(identity_.group_);
        reply->set_incarnation(identity_.incarnation_);
        reply->set_sequence(++heartbeatCount_);
        reply->set_draining(snapshot.draining_ || draining_);
        reply->set_running(static_cast<std::uint32_t>(snapshot.running_));
        reply->set_waiting(static_cast<std::uint32_t>(snapshot.waiting_));
        reply->set_capacity(static_cast<std::uint32_t>(snapshot.maxRunning_));
        reply->set_loads_in_flight(static_cast<std::uint32_t>(snapshot.loadsInFlight_));
        for (const AdapterId &adapter : snapshot.resident_)
            toWire(adapter, *reply->add_resident());
        for (const AdapterId &adapter : snapshot.loading_)
            toWire(adapter, *reply->add_loading());
        reply->set_revision(revision_());
        reply->set_target_up(isTargetUp_());
        return grpc::Status::OK;
    }

    void drain()
    {
        draining_ = true;
        scheduler_->drain();
    }

    [[nodiscard]] std::size_t runningCount() const { return executions_.runningCount(); }
    [[nodiscard]] std::size_t readerCount() const { return readerCount_; }

    void sweep()
    {
        for (const ExecutionId &id : executions_.sweep()) {
            kLog.warn(concat("cancelling execution without a reader, request=", id.requestId_));
            cancel(id);
        }
    }

private:
    Result<StartedExecution> admit(const wire::ExecuteRequest &request, const ExecutionId &id,
                                   bool hasMemory)
    {
        if (request.incarnation() != identity_.incarnation_)
            return notRun(ErrorCode::NoTarget, "request is for another incarnation of the agent");
        if (draining_)
            return notRun(ErrorCode::TargetDraining, "target is draining");
        if (executions_.runningCount() >= maxExecutions_)
            return notRun(ErrorCode::Overloaded, "agent runs too many requests");
        if (!hasMemory)
            return notRun(ErrorCode::Overloaded, "agent holds too many bytes of requests");
        return executions_.start(id);
    }

    // The share is held until the request has run and its answer was sent, whichever is later.
    void run(const wire::ExecuteRequest &request, const std::shared_ptr<AnswerBuffer> &answer,
             const std::shared_ptr<memory::ByteShare> &share)
    {
        const TimePoint deadline = deadlineOf(request.remaining_micros(), clock_->now());
        if (request.has_adapter())
            objects_->set({request.adapter().id(), std::to_string(request.adapter().version())},
                          request.adapter().object());
        asio::post(pool_, [this, request, answer, deadline, share] {
            executor_->run(request, deadline, *answer);
        });
    }

    void send(AnswerBuffer &answer, const ExecutionId &id, std::uint64_t offset, bool headReceived,
              grpc::ServerWriter<wire::Frame> &writer)
    {
        const ScopedIncrement increment(readerCount_);
        // Each token is a separate message; buffering messages to fill a packet would delay it.
        sendFrames(answer, id, offset, headReceived, *clock_, [&writer](const wire::Frame &frame) {
            return writer.Write(frame, grpc::WriteOptions().set_write_through());
        });
    }

    Error unknownExecution(const wire::ResumeRequest &request, const ExecutionId &id)
    {
        // An incarnation only knows its own executions. If the request was sent to an earlier
        // incarnation, that one may have run it.
        const bool neverStarted =
            request.incarnation() == identity_.incarnation_ && executions_.cancel(id);
        return {ErrorCode::ConnectionLost,
                neverStarted ? Execution::NotRun : Execution::OutcomeUnknown,
                "execution is not known to the agent"};
    }

    bool cancel(const ExecutionId &id)
    {
        const bool neverStarted = executions_.cancel(id);
        scheduler_->cancel(concat(id.requestId_, "/", id.attempt_));
        return neverStarted;
    }

    AgentIdentity identity_;
    const Clock *clock_;
    AgentScheduler *scheduler_;
    Executor *executor_;
    AdapterObjectNames *objects_;
    std::size_t maxExecutions_;
    memory::ByteBudget requestBytes_;
    memory::ByteBudget answerBytes_;
    std::function<std::uint64_t()> revision_;
    std::function<bool()> isTargetUp_;
    ExecutionTable executions_;
    std::atomic<bool> draining_ = false;
    std::atomic<std::size_t> readerCount_ = 0;
    std::atomic<std::uint64_t> heartbeatCount_ = 0;
    asio::thread_pool pool_;
};

AgentServer::AgentServer(AgentIdentity identity, const Clock &clock, AgentScheduler &scheduler,
                         Executor &executor, AdapterObjectNames &objects, const AgentLimits &limits,
                         std::function<std::uint64_t()> revision, std::function<bool()> isTargetUp)
    : impl_(std::make_unique<Impl>(std::move(identity), clock, scheduler, executor, objects, limits,
                                   std::move(revision), std::move(isTargetUp)))
{ }

AgentServer::~AgentServer() = default;

grpc::Service *AgentServer::service()
{
    return impl_.get();
}

void AgentServer::drain()
{
    impl_->drain();
}

std::size_t AgentServer::runningCount() const
{
    return impl_->runningCount();
}

std::size_t AgentServer::readerCount() const
{
    return impl_->readerCount();
}

void AgentServer::sweep()
{
    impl_->sweep();
}

} // namespace foxtailturn
