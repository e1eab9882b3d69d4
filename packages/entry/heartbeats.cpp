#include "entry/heartbeats.h"

#include <condition_variable>
#include <utility>

#include <grpcpp/grpcpp.h>

#include "foxtailturn.grpc.pb.h"

namespace foxtailturn {

namespace {

constexpr auto kCallTimeout = std::chrono::milliseconds(1'000);
// Consecutive failed requests after which the connection is replaced, as it may be unresponsive
// without having been closed.
constexpr int kFailuresPerReconnect = 2;

std::vector<AdapterId> adaptersOf(const google::protobuf::RepeatedPtrField<wire::Adapter> &items)
{
    std::vector<AdapterId> adapters;
    adapters.reserve(static_cast<std::size_t>(items.size()));
    for (const wire::Adapter &item : items)
        adapters.push_back({item.id(), std::to_string(item.version())});
    return adapters;
}

TargetReport reportOf(const wire::HeartbeatReply &reply)
{
    TargetReport report;
    report.name_ = reply.target();
    report.incarnation_ = reply.incarnation();
    report.sequence_ = reply.sequence();
    report.running_ = reply.running();
    report.waiting_ = reply.waiting();
    report.maxRunning_ = reply.capacity();
    report.loadsInFlight_ = reply.loads_in_flight();
    report.draining_ = reply.draining();
    report.resident_ = adaptersOf(reply.resident());
    report.loading_ = adaptersOf(reply.loading());
    return report;
}

struct Call
{
    std::unique_ptr<wire::AgentService::Stub> stub_;
    std::shared_ptr<AgentLink> link_;
    std::shared_ptr<grpc::Channel> channel_;
    grpc::ClientContext context_;
    wire::HeartbeatRequest request_;
    wire::HeartbeatReply reply_;
};

} // namespace

struct Heartbeats::State
{
    struct Agent
    {
        Member member_;
        TargetInfo target_; // the name is empty until the first reply
        std::string incarnation_;
        bool isRequestPending_ = false;
        int consecutiveFailures_ = 0;
    };

    State(std::string senderId, TargetDirectory &directory, AgentLinks &links)
        : senderId_(std::move(senderId))
        , directory_(&directory)
        , links_(&links)
    { }

    void setAgents(const std::vector<Member> &members);
    void publishTargets();
    void handleReply(const Member &member, const wire::HeartbeatReply &reply);
    void handleFailure(const Member &member, Call &call);

    std::string senderId_;
    TargetDirectory *directory_;
    AgentLinks *links_;
    std::mutex mutex_;
    std::condition_variable allCallsDone_;
    std::map<std::string, Agent> agents_; // by process name
    int pendingCalls_ = 0;
};

void Heartbeats::State::setAgents(const std::vector<Member> &members)
{
    std::map<std::string, Agent> agents;
    for (const Member &member : members) {
        const auto existing = agents_.find(member.name_);
        if (existing != agents_.end() && existing->second.member_.address_ == member.address_)
            agents[member.name_] = existing->second;
        agents[member.name_].member_ = member;
    }
    agents_ = std::move(agents);
}

// Precondition: mutex_ is held. The directory may be called under it: it has a lock of its own and
// does no I/O.
void Heartbeats::State::publishTargets()
{
    std::vector<TargetInfo> targets;
    for (auto &[name, agent] : agents_) {
        if (agent.target_.name_.empty())
            continue;
        agent.target_.leaving_ = agent.member_.state_ == VmState::Leaving;
        targets.push_back(agent.target_);
    }
    directory_->setTargets(targets);
}

void Heartbeats::State::handleReply(const Member &member, const wire::HeartbeatReply &reply)
{
    const std::lock_guard lock(mutex_);
    const auto it = agents_.find(member.name_);
    if (it == agents_.end())
        return;
    Agent &agent = it->second;
    agent.isRequestPending_ = false;
    agent.consecutiveFailures_ = 0;
    const bool isNew = agent.target_.name_.empty();
    agent.incarnation_ = reply.incarnation();
    agent.target_ = {reply.target(), reply.group(), member.dataCentre_, member.address_, false};
    if (isNew)
        publishTargets();
    if (reply.target_up())
        directory_->heartbeat(reportOf(reply));
    else
        directory_->markUnreachable(reply.target());
}

void Heartbeats::State::handleFailure(const Member &member, Call &call)
{
    bool reconnect = false;
    {
        const std::lock_guard lock(mutex_);
        const auto it = agents_.find(member.name_);
        if (it == agents_.end())
            return;
        it->second.isRequestPending_ = false;
        reconnect = ++it->second.consecutiveFailures_ % kFailuresPerReconnect == 0;
    }
    if (reconnect)
        call.link_->replace(call.channel_);
}

Heartbeats::Heartbeats(std::string senderId, TargetDirectory &directory, AgentLinks &links)
    : state_(std::make_shared<State>(std::move(senderId), directory, links))
{ }

void Heartbeats::tick(const std::vector<Member> &agents, std::uint64_t revision)
{
    std::vector<Member> agentsToPoll;
    {
        const std::lock_guard lock(state_->mutex_);
        state_->setAgents(agents);
        state_->publishTargets();
        for (auto &[name, agent] : state_->agents_) {
            if (std::exchange(agent.isRequestPending_, true))
                continue;
            agentsToPoll.push_back(agent.member_);
            ++state_->pendingCalls_;
        }
    }
    for (const Member &member : agentsToPoll) {
        auto call = std::make_shared<Call>();
        call->link_ = state_->links_->get(member.address_);
        call->channel_ = call->link_->channel();
        call->stub_ = wire::AgentService::NewStub(call->channel_);
        call->context_.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
        call->request_.set_sender(state_->senderId_);
        call->request_.set_revision(revision);
        call->stub_->async()->Heartbeat(&call->context_, &call->request_, &call->reply_,
                                        [state = state_, call, member](const grpc::Status &status) {
                                            if (status.ok())
                                                state->handleReply(member, call->reply_);
                                            else
                                                state->handleFailure(member, *call);
                                            const std::lock_guard lock(state->mutex_);
                                            --state->pendingCalls_;
                                            state->allCallsDone_.notify_all();
                                        });
    }
}

std::string Heartbeats::incarnationOf(const std::string &target) const
{
    const std::lock_guard lock(state_->mutex_);
    for (const auto &[name, agent] : state_->agents_) {
        if (agent.target_.name_ == target)
            return agent.incarnation_;
    }
    return {};
}

void Heartbeats::finish()
{
    std::unique_lock lock(state_->mutex_);
    state_->allCallsDone_.wait(lock, [this] { return state_->pendingCalls_ == 0; });
}

} // namespace foxtailturn
