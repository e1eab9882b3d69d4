#include "daemon/admin_server.h"

#include <array>
#include <utility>

#include <openssl/crypto.h>

#include "base/json.h"
#include "base/log.h"
#include "callers/caller_loop.h"

namespace foxtailturn {

namespace {

const Logger kLog("admin");

constexpr std::size_t kMaxConnections = 64; // health checks, scrapes and a few operators
constexpr std::size_t kMaxHeaderBytes = 16'384;
constexpr std::size_t kMaxBodyBytes = 1'048'576; // a list of keys to withdraw
constexpr auto kRequestTimeout = std::chrono::seconds(5); // for a caller to send a whole request
constexpr auto kIdleTimeout = std::chrono::seconds(5);
// Dumps that are not read count, too.
constexpr memory::MemoryBounds kMemory{.pauseAt_ = 6'291'456, .max_ = 8'388'608};

bool isEqualInConstantTime(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

struct AdminAnswer
{
    int status_ = 200;
    std::string contentType_ = "application/json";
    std::string body_ = "{}";
};

AdminAnswer errorAnswer(int status, std::string_view what)
{
    return {status, "application/json", Json{{"error", what}}.dump()};
}

std::string headText(const AdminAnswer &answer, bool closes)
{
    MessageHead head;
    head.status_ = answer.status_;
    head.add("Content-Type", answer.contentType_);
    head.add("Content-Length", std::to_string(answer.body_.size()));
    if (closes)
        head.add("Connection", "close");
    return responseText(head);
}

// A request whose answer is known when it has been read.
class AnsweredRequest final : public callers::Exchange
{
public:
    AnsweredRequest(AdminAnswer answer, bool isHeadOnly, callers::AnswerSink &sink)
        : answer_(std::move(answer))
        , isHeadOnly_(isHeadOnly)
        , sink_(sink)
    { }

    void start() override
    {
        std::string text = headText(answer_, sink_.closesAfterAnswer());
        if (!isHeadOnly_)
            text += answer_.body_;
        sink_.sendAnswer(std::move(text));
        sink_.endAnswer();
    }
    void cancel() override { }
    void shutDown() override { }
    void onAnswerDrained() override { }

private:
    AdminAnswer answer_;
    bool isHeadOnly_;
    callers::AnswerSink &sink_;
};

} // namespace

// Answers on an event loop of its own; the handlers only read state or begin work.
class AdminServer::Impl final : callers::CallerService
{
public:
    Impl(Endpoint listen, std::string token, const Clock &clock, AdminHandlers handlers)
        : listen_(std::move(listen))
        , token_(std::move(token))
        , clock_(&clock)
        , handlers_(std::move(handlers))
        , loop_(clock, kMemory)
    { }

    Result<void> start() { return loop_.start(*this, listen_.text(), kMaxConnections); }
    void stop() { loop_.stop(); }

private:
    struct Operation
    {
        std::string_view method_;
        std::string_view path_;
        bool needsToken_;
        AdminAnswer (Impl::*run_)(const std::string &body);
    };

    asio::io_context &context() override { return loop_.context(); }
    memory::MemoryAccount &memory() override { return loop_.memory(); }
    [[nodiscard]] TimePoint now() const override { return clock_->now(); }
    [[nodiscard]] double jitter() override { return loop_.jitter(); }
    [[nodiscard]] callers::CallerLimits limits() const override
    {
        return {.maxHeaderBytes_ = kMaxHeaderBytes,
                .maxBodyBytes_ = kMaxBodyBytes,
                .headerTimeout_ = kRequestTimeout,
                .idleTimeout_ = kIdleTimeout};
    }

    [[nodiscard]] callers::Admission admit(const MessageHead &head, std::string body, TimePoint,
                                           callers::AnswerSink &sink) override
    {
        return std::make_shared<AnsweredRequest>(answerTo(head, body), head.method_ == "HEAD",
                                                 sink);
    }

    [[nodiscard]] std::string requestIdOf(const MessageHead &) const override { return {}; }
    [[nodiscard]] std::string workspaceOf(const MessageHead &) const override { return {}; }

    [[nodiscard]] std::string refusalText(const callers::Refusal &refusal) const override
    {
        const AdminAnswer answer = errorAnswer(refusal.status_, refusal.code_);
        return headText(answer, refusal.closesConnection_) + answer.body_;
    }

    void countRefusal(const callers::Refusal &) override { }

    void logUnreadRequest(const callers::Refusal &refusal) override
    {
        kLog.warn(concat("request is refused before its end, status=", refusal.status_,
                         " code=", refusal.code_));
    }

    void recordShed(std::string_view reason, const memory::Holder &holder,
                    std::size_t connections) override
    {
        kLog.warn(concat("caller gives way, reason=", reason, " owner=", holder.owner_,
                         " bytes=", holder.bytes_, " connections=", connections));
    }

    void recordAcceptFailure(const std::string &what) override
    {
        kLog.warn(concat("connection can not be accepted: ", what));
    }

    AdminAnswer answerTo(const MessageHead &head, const std::string &body)
    {
        static constexpr std::array kOperations = {
            Operation{"GET", "/healthz", false, &Impl::health},
            Operation{"GET", "/readyz", false, &Impl::readiness},
            Operation{"GET", "/metrics", true, &Impl::metrics},
            Operation{"GET", "/state", true, &Impl::state},
            Operation{"POST", "/drain", true, &Impl::drain},
            Operation{"POST", "/withdraw", true, &Impl::withdraw},
        };
        const std::string_view path =
            std::string_view(head.target_).substr(0, head.target_.find('?'));
        const std::string method = head.method_ == "HEAD" ? std::string("GET") : head.method_;
        for (const Operation &operation : kOperations) {
            if (operation.method_ != method || operation.path_ != path)
                continue;
            const std::string *token = head.find("x-admin-token");
            if (operation.needsToken_
                && (token == nullptr || !isEqualInConstantTime(*token, token_)))
                return errorAnswer(401, "x-admin-token is missing or wrong");
            return (this->*operation.run_)(body);
        }
        return errorAnswer(404, "no such operation");
    }

    AdminAnswer health(const std::string &) { return {200, "text/plain", "ok\n"}; }

    AdminAnswer readiness(const std::string &)
    {
        const bool isReady = handlers_.isReady_();
        return {isReady ? 200 : 503, "text/plain", isReady ? "ready\n" : "not ready\n"};
    }

    AdminAnswer metrics(const std::string &)
    {
        return {200, "text/plain; version=0.0.4", handlers_.metrics_()};
    }

    AdminAnswer state(const std::string &) { return {200, "application/json", handlers_.state_()}; }

    AdminAnswer drain(const std::string &)
    {
        handlers_.drain_();
        return {};
    }

    AdminAnswer withdraw(const std::string &text)
    {
        const Json body = parseUntrustedJson(text);
        const Json keys = body.is_object() ? body.value("keys", Json()) : Json();
        std::vector<std::string> ids;
        for (const Json &key : keys) {
            if (key.is_string())
                ids.push_back(key.get<std::string>());
        }
        if (!keys.is_array() || ids.size() != keys.size() || ids.empty())
            return errorAnswer(400, R"(body must be {"keys": [id, ...]})");
        handlers_.withdraw_(ids);
        return {};
    }

    Endpoint listen_;
    std::string token_;
    const Clock *clock_;
    AdminHandlers handlers_;
    callers::CallerLoop loop_;
};

AdminServer::AdminServer(Endpoint listen, std::string token, const Clock &clock,
                         AdminHandlers handlers)
    : impl_(std::make_unique<Impl>(std::move(listen), std::move(token), clock, std::move(handlers)))
{ }

AdminServer::~AdminServer() = default;

Result<void> AdminServer::start()
{
    return impl_->start();
}

void AdminServer::stop()
{
    impl_->stop();
}

} // namespace foxtailturn
