#include "gateway/http_caller.h"

#include <algorithm>
#include <utility>

#include "gateway/read_limits.h"

namespace foxtailturn::gateway {

namespace {

constexpr Duration kConnectTimeout =
    std::chrono::milliseconds(400); // allows for one retransmission

} // namespace

// One call with its timer; keeps itself alive until its handler has run.
class HttpCaller::Call final : public std::enable_shared_from_this<Call>, ExchangeSink
{
public:
    Call(HttpCaller &caller, std::string address, Handler handler)
        : caller_(caller)
        , address_(std::move(address))
        , handler_(std::move(handler))
        , timer_(caller.context_)
    { }

    void start(const HttpCall &call, Duration timeout)
    {
        self_ = shared_from_this();
        connection_ = caller_.pool_.acquire(
            address_, caller_.clock_.now() + std::min(timeout, kConnectTimeout));
        timer_.expires_after(timeout);
        timer_.async_wait([weak = weak_from_this()](const asio::error_code &error) {
            const auto self = weak.lock();
            if (error || !self)
                return;
            self->caller_.pool_.closeIdle(self->address_);
            self->finish();
        });
        connection_->exchange(caller_.codec_.callHead(call, address_) + call.body_, "", false,
                              *this);
    }

private:
    void onReplyHead(const MessageHead &head, const TargetReply &reply) override
    {
        answer_.status_ = head.status_;
        answer_.isLeaving_ = reply.isLeaving_;
        answer_.storeEra_ = reply.storeEra_;
    }

    void onReplyBody(std::string_view data) override
    {
        if (answer_.body_.size() + data.size() > read_limits::kMaxAnswerBytes)
            finish();
        else if (self_)
            answer_.body_ += data;
    }

    void onReplyEnd() override
    {
        connection_.reset();
        isComplete_ = true;
        finish();
    }

    void onExchangeFailure(const Error &) override { finish(); }

    void finish()
    {
        const std::shared_ptr<Call> self = std::exchange(self_, nullptr);
        if (!self)
            return;
        timer_.cancel();
        if (connection_)
            connection_->abandon();
        connection_.reset();
        handler_(isComplete_ ? answer_ : HttpAnswer());
    }

    HttpCaller &caller_;
    std::string address_;
    Handler handler_;
    asio::steady_timer timer_;
    std::shared_ptr<TargetConnection> connection_;
    std::shared_ptr<Call> self_;
    HttpAnswer answer_;
    bool isComplete_ = false;
};

HttpCaller::HttpCaller(asio::io_context &context, const PlatformCodec &codec, const Clock &clock)
    : context_(context)
    , codec_(codec)
    , clock_(clock)
    , pool_(context, codec, clock)
{ }

void HttpCaller::call(const std::string &address, const HttpCall &call, Duration timeout,
                      Handler handler)
{
    std::make_shared<Call>(*this, address, std::move(handler))->start(call, timeout);
}

} // namespace foxtailturn::gateway
