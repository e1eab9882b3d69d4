#include "entry/entry_server.h"

#include <atomic>
#include <thread>
#include <utility>

#include <asio/post.hpp>
#include <asio/thread_pool.hpp>

#include "base/hash.h"
#include "base/log.h"
#include "callers/caller_loop.h"
#include "entry/answer_channel.h"
#include "entry/caller_http.h"
#include "entry/request_handler.h"

namespace foxtailturn {

namespace {

const Logger kLog("entry");

constexpr auto kStopPollInterval = std::chrono::milliseconds(20);
constexpr std::size_t kMaxHeaderBytes = 65'536;
constexpr auto kRequestTimeout = std::chrono::seconds(30); // for a caller to send a whole request
constexpr auto kIdleTimeout = std::chrono::seconds(5);
constexpr auto kOverloadRetry = std::chrono::seconds(1);
// Of a body while its request is worked on: as it is read, changed, digested and sent.
constexpr std::size_t kBodyCopies = 4;

std::string textOf(const OwnAnswer &answer)
{
    return responseText(answer.head_) + answer.body_;
}

} // namespace

// The event loop reads requests and writes answers; each request is worked on by a thread of its
// own. The methods of CallerService are called by the loop.
class EntryServer::Impl final : callers::CallerService
{
public:
    Impl(EntryServerSettings settings, const Clock &clock, const FilterChain &chain,
         Forwarder &forwarder, RetryGuard &retryGuard, RequestObserver &observer,
         std::function<std::shared_ptr<const Configuration>()> configuration)
        : settings_(std::move(settings))
        , clock_(&clock)
        , configuration_(configuration)
        , handler_({clock, chain, forwarder, retryGuard, observer, std::move(configuration)})
        , loop_(clock, memory::MemoryBounds::forMachine(settings_.memoryBytes_))
        , pool_(settings_.maxConnections_)
    { }

    ~Impl() override { stop(clock_->now()); }

    Result<void> start()
    {
        const std::string address = concat(settings_.host_, ":", settings_.port_);
        Result<void> started = loop_.start(*this, address, settings_.maxConnections_);
        if (!started)
            return started;
        isStarted_ = true;
        kLog.info(concat("listening on ", address));
        return {};
    }

    void drain() { handler_.drain(); }

    void stop(TimePoint deadline)
    {
        drain();
        if (!std::exchange(isStarted_, false))
            return;
        loop_.drain();
        while ((active_ > 0 || loop_.hasUnsentAnswers()) && clock_->now() < deadline)
            std::this_thread::sleep_for(kStopPollInterval);
        loop_.stop();
        pool_.join();
    }

    [[nodiscard]] EntryCounts counts() const { return handler_.counts(); }

private:
    // A request as the loop has read it.
    struct ReadRequest
    {
        MessageHead head_;
        std::string body_;
    };

    asio::io_context &context() override { return loop_.context(); }
    memory::MemoryAccount &memory() override { return loop_.memory(); }
    [[nodiscard]] TimePoint now() const override { return clock_->now(); }
    [[nodiscard]] double jitter() override { return loop_.jitter(); }

    [[nodiscard]] callers::CallerLimits limits() const override
    {
        return {.maxHeaderBytes_ = kMaxHeaderBytes,
                .maxBodyBytes_ = settings_.maxBodyBytes_,
                .headerTimeout_ = kRequestTimeout,
                .idleTimeout_ = kIdleTimeout};
    }

    [[nodiscard]] callers::Admission admit(const MessageHead &head, std::string body, TimePoint,
                                           callers::AnswerSink &answer) override
    {
        const std::size_t bytes = heldBytes(head) + kBodyCopies * body.size();
        if (!hasRoomFor(bytes)) {
            kLog.warn(concat("request is refused, in_progress=", active_.load(),
                             " held_bytes=", memory().total()));
            return callers::Refusal{
                503, {}, std::string(errorName(ErrorCode::Overloaded)), Duration(kOverloadRetry)};
        }
        ++active_;
        auto request = std::make_shared<ReadRequest>(ReadRequest{head, std::move(body)});
        auto channel = std::make_shared<AnswerChannel>(
            AnswerLoop{context(), memory()}, answer, bytes,
            [this, request](const std::shared_ptr<AnswerChannel> &started) {
                asio::post(pool_, [this, request, started] { work(*request, *started); });
            });
        const Error stopped{ErrorCode::ShuttingDown, Execution::OutcomeUnknown,
                            "entry has stopped"};
        channel->setShutDownAnswer(textOf(errorAnswer(stopped, randomId(), now())));
        return channel;
    }

    // A single request is served whatever the VM's size.
    [[nodiscard]] bool hasRoomFor(std::size_t bytes)
    {
        const std::size_t held = memory().total();
        return (held == 0 || held + bytes <= memory().bounds().max_)
            && active_ < settings_.maxConnections_;
    }

    // In a thread of the pool.
    void work(ReadRequest &request, AnswerChannel &channel)
    {
        handler_.run(request.head_, std::move(request.body_), channel);
        channel.done();
        --active_;
    }

    // Ids of requests are the entry's own.
    [[nodiscard]] std::string requestIdOf(const MessageHead &) const override { return {}; }

    [[nodiscard]] std::string workspaceOf(const MessageHead &head) const override
    {
        const std::shared_ptr<const Configuration> configuration = configuration_();
        if (!configuration)
            return {};
        const CallerKey key = extractCallerKey(toCallerRequest(head, {}).headers_);
        const Result<KeyMatch> match = configuration->findKey(key.secret_);
        return match ? match->workspace_->id_ : std::string();
    }

    [[nodiscard]] std::string refusalText(const callers::Refusal &refusal) const override
    {
        return textOf(refusalAnswer(refusal, now()));
    }

    void countRefusal(const callers::Refusal &) override { handler_.countRefusal(); }

    void logUnreadRequest(const callers::Refusal &refusal) override
    {
        kLog.warn(concat("request is refused before its end, status=", refusal.status_,
                         " code=", refusal.code_));
    }

    void recordShed(std::string_view reason, const memory::Holder &holder,
                    std::size_t connections) override
    {
        kLog.warn(concat("caller gives way, reason=", reason, " owner=", holder.owner_,
                         " bytes=", holder.bytes_, " held_bytes=", memory().total(),
                         " connections=", connections));
    }

    void recordAcceptFailure(const std::string &what) override
    {
        kLog.warn(concat("connection can not be accepted: ", what));
    }

    EntryServerSettings settings_;
    const Clock *clock_;
    std::function<std::shared_ptr<const Configuration>()> configuration_;
    RequestHandler handler_;
    callers::CallerLoop loop_;
    bool isStarted_ = false;
    std::atomic<std::size_t> active_ = 0; // requests that threads work on or that wait for one
    asio::thread_pool pool_; // last, so that its threads end before what they use
};

EntryServer::EntryServer(EntryServerSettings settings, const Clock &clock, const FilterChain &chain,
                         Forwarder &forwarder, RetryGuard &retryGuard, RequestObserver &observer,
                         std::function<std::shared_ptr<const Configuration>()> configuration)
    : impl_(std::make_unique<Impl>(std::move(settings), clock, chain, forwarder, retryGuard,
                                   observer, std::move(configuration)))
{ }

EntryServer::~EntryServer() = default;

Result<void> EntryServer::start()
{
    return impl_->start();
}

void EntryServer::drain()
{
    impl_->drain();
}

void EntryServer::stop(TimePoint deadline)
{
    impl_->stop(deadline);
}

EntryCounts EntryServer::counts() const
{
    return impl_->counts();
}

} // namespace foxtailturn
