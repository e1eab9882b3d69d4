#include "entry/entry_server.h"

#include <atomic>
#include <thread>
#include <utility>

#include "base/json.h"
#include "base/log.h"
#include "entry/caller_http.h"
#include "entry/error_response.h"
#include "entry/live_request.h"

namespace foxtailturn {

namespace {

const Logger kLog("entry");

constexpr auto kStopPollInterval = std::chrono::milliseconds(20);
constexpr std::string_view kModelsPath = "/v1/models";

} // namespace

class EntryServer::Impl
{
public:
    Impl(EntryServerSettings settings, const Clock &clock, const FilterChain &chain,
         Forwarder &forwarder, RetryGuard &retryGuard, RequestObserver &observer,
         std::function<std::shared_ptr<const Configuration>()> configuration)
        : settings_(std::move(settings))
        , clock_(&clock)
        , chain_(&chain)
        , forwarder_(&forwarder)
        , observer_(&observer)
        , retryGuard_(&retryGuard)
        , configuration_(std::move(configuration))
    {
        server_.configure(settings_);
        server_.handleAll([this](const httplib::Request &request, httplib::Response &response) {
            handle(request, response);
        });
        server_.set_error_handler([this](const httplib::Request &, httplib::Response &response) {
            rewriteServerError(response, clock_->now());
        });
    }

    ~Impl() { stop(clock_->now()); }

    Result<void> start()
    {
        if (!server_.bind(settings_.host_, settings_.port_))
            return notRun(ErrorCode::InvalidSettings,
                          concat("can not listen on ", settings_.host_, ":", settings_.port_));
        listener_ = std::thread([this] { server_.listen_after_bind(); });
        while (!server_.is_running())
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        kLog.info(concat("listening on ", settings_.host_, ":", settings_.port_));
        return {};
    }

    void drain() { draining_ = true; }

    void stop(TimePoint deadline)
    {
        drain();
        while (open_ > 0 && clock_->now() < deadline)
            std::this_thread::sleep_for(kStopPollInterval);
        server_.stop();
        if (listener_.joinable())
            listener_.join();
    }

    [[nodiscard]] EntryCounts counts() const { return {requests_, refused_, failed_, open_}; }

private:
    using LiveRequestPtr = std::shared_ptr<LiveRequest>;

    void handle(const httplib::Request &request, httplib::Response &response)
    {
        ++requests_;
        auto live =
            std::make_shared<LiveRequest>(*clock_, *observer_, *retryGuard_, configuration_, open_);
        RequestContext &context = live->context();
        context.request_ = toCallerRequest(request);
        context.configuration_ = configuration_();
        response.set_header("X-Request-Id", context.request_.id_);
        const Result<void> admitted = admit(context);
        if (!admitted)
            return sendError(live, admitted.error(), response);
        if (context.request_.path_ == kModelsPath && context.request_.method_ == "GET")
            return listModels(live, response);
        const Result<void> passed = chain_->apply(context);
        if (!passed)
            return sendError(live, passed.error(), response);
        if (context.streaming_)
            startStream(live, response);
        else
            sendCompleteAnswer(live, response);
    }

    Result<void> admit(const RequestContext &context) const
    {
        if (draining_)
            return notRun(ErrorCode::ShuttingDown, "entry is shutting down");
        if (!context.configuration_)
            return notRun(ErrorCode::StaleConfiguration, "entry has no configuration yet");
        return {};
    }

    void sendError(const LiveRequestPtr &live, const Error &error, httplib::Response &response)
    {
        ++(error.execution_ == Execution::NotRun ? refused_ : failed_);
        if (error.code_ == ErrorCode::ShuttingDown)
            response.set_header("Connection", "close");
        writeError(error, live->context().request_.id_, clock_->now(), response);
        live->fail(error);
    }

    void listModels(const LiveRequestPtr &live, httplib::Response &response)
    {
        const RequestContext &context = live->context();
        const Result<KeyMatch> match =
            context.configuration_->findKey(extractCallerKey(context.request_.headers_).secret_);
        if (!match)
            return sendError(live, match.error(), response);
        Json data = Json::array();
        for (const AdapterVersion *adapter :
             context.configuration_->modelsOf(match->workspace_->id_))
            data.push_back({{"id", concat(adapter->adapter_, "@", adapter->version_)},
                            {"object", "model"},
                            {"root", adapter->baseModel_}});
        response.set_content(Json{{"object", "list"}, {"data", data}}.dump(), kJsonContentType);
        live->complete(0);
    }

    void sendCompleteAnswer(const LiveRequestPtr &live, httplib::Response &response)
    {
        const Result<CompleteAnswer> answer =
            forwarder_->fetch(live->context(), [&live] { return live->check(); });
        if (!answer)
            return sendError(live, answer.error(), response);
        live->recordFirstByte();
        response.status = answer->head_.status_;
        setAnswerHeaders(answer->head_, response);
        response.set_content(answer->body_, answer->head_.contentType_);
        live->complete(answer->usedTokens_);
    }

    void startStream(const LiveRequestPtr &live, httplib::Response &response)
    {
        Result<AnswerStream> opened =
            forwarder_->open(live->context(), [&live] { return live->check(); });
        if (!opened)
            return sendError(live, opened.error(), response);
        auto answer = std::make_shared<AnswerStream>(*std::move(opened));
        response.status = answer->head_.status_;
        setAnswerHeaders(answer->head_, response);
        response.set_chunked_content_provider(
            answer->head_.contentType_,
            [this, live, answer](std::size_t, httplib::DataSink &sink) {
                return forwardEvent(live, *answer, sink);
            },
            // Called when the response is over. Ends the request if the caller disconnected; has no
            // effect on a request that has ended already.
            [live](bool) { live->fail(LiveRequest::callerDisconnected()); });
    }

    // Forwards one event to the caller. Returns false to close the connection without the final
    // chunk, so that a truncated answer never looks complete.
    bool forwardEvent(const LiveRequestPtr &live, AnswerStream &answer, httplib::DataSink &sink)
    {
        const StreamEvent event = answer.stream_->next();
        if (event.kind_ == StreamEvent::Kind::End) {
            live->complete(event.usedTokens_);
            sink.done();
            return true;
        }
        if (event.kind_ == StreamEvent::Kind::Failure)
            return failStream(live, answer, *event.failure_, sink);
        const Result<void> allowed = live->check();
        if (!allowed)
            return abortStream(live, allowed.error(), sink);
        if (event.kind_ == StreamEvent::Kind::Data) {
            live->recordFirstByte();
            return sink.write(event.data_.data(), event.data_.size());
        }
        return sink.is_writable();
    }

    bool failStream(const LiveRequestPtr &live, const AnswerStream &answer, const Error &error,
                    httplib::DataSink &sink)
    {
        forwarder_->reportFailure(live->context(), answer.placement_->target().name_, error);
        return abortStream(live, error, sink);
    }

    bool abortStream(const LiveRequestPtr &live, const Error &error, httplib::DataSink &sink)
    {
        ++failed_;
        const HttpError http = toHttpError(error, live->context().request_.id_, clock_->now());
        const std::string event = concat("event: error\ndata: ", http.body_, "\n\n");
        sink.write(event.data(), event.size());
        live->fail(error);
        return false;
    }

    static void setAnswerHeaders(const StreamHead &head, httplib::Response &response)
    {
        if (!head.servedBy_.empty())
            response.set_header("X-Served-By", head.servedBy_);
        if (head.replayed_)
            response.set_header("X-Idempotent-Replay", "true");
    }

    EntryServerSettings settings_;
    const Clock *clock_;
    const FilterChain *chain_;
    Forwarder *forwarder_;
    RequestObserver *observer_;
    RetryGuard *retryGuard_;
    std::function<std::shared_ptr<const Configuration>()> configuration_;
    CallerHttpServer server_;
    std::thread listener_;
    std::atomic<bool> draining_ = false;
    std::atomic<std::uint64_t> requests_ = 0;
    std::atomic<std::uint64_t> refused_ = 0;
    std::atomic<std::uint64_t> failed_ = 0;
    std::atomic<std::uint64_t> open_ = 0;
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
