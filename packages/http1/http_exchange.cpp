#include "http1/http_exchange.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include <asio.hpp>

#include "base/log.h"
#include "http1/message_parser.h"

namespace foxtailturn {

namespace {

// The peer is on the same VM or close to it, so a connection that takes longer means that it is
// down.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr std::size_t kReadBytes = 16'384;
constexpr int kFirstFinalStatus = 200;

// The exchange under way: a connection with its own event loop, run until the deadline.
class Connection final : MessageSink
{
public:
    Connection(const Clock &clock, TimePoint deadline, TargetSink &sink)
        : clock_(clock)
        , deadline_(deadline)
        , sink_(sink)
        , socket_(context_)
        , parser_(MessageKind::Response, HttpExchange::kMaxHeadBytes, *this)
    { }

    [[nodiscard]] bool connect(const std::string &host, int port)
    {
        asio::error_code error;
        const asio::ip::address address = asio::ip::make_address(host, error);
        if (error)
            return false;
        error = asio::error::timed_out;
        socket_.async_connect({address, static_cast<std::uint16_t>(port)},
                              [&error](const asio::error_code &result) { error = result; });
        runUntil(std::min(deadline_, clock_.now() + kConnectTimeout));
        if (error)
            return false;
        asio::error_code ignored; // only slower without
        socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        return true;
    }

    [[nodiscard]] Result<void> exchange(const std::string &text, bool expectsNoBody)
    {
        if (expectsNoBody)
            parser_.expectNoBody();
        // A peer may answer before it has read all, so a failed write shows in the answer.
        asio::async_write(socket_, asio::buffer(text),
                          [](const asio::error_code &, std::size_t) {});
        read();
        runUntil(deadline_);
        asio::error_code ignored; // closed anyway
        socket_.close(ignored);
        if (isAborted_)
            return outcomeUnknown(ErrorCode::Cancelled, "call was cancelled");
        if (isLate_)
            return outcomeUnknown(ErrorCode::TargetTimeout, "peer did not finish by the deadline");
        if (isDone_)
            return {};
        if (failure_.empty())
            return outcomeUnknown(ErrorCode::TargetTimeout, "peer did not finish by the deadline");
        return outcomeUnknown(ErrorCode::TargetFailed, failure_);
    }

private:
    void runUntil(TimePoint end)
    {
        context_.restart();
        context_.run_for(std::max(end - clock_.now(), Duration::zero()));
    }

    void read()
    {
        socket_.async_read_some(asio::buffer(buffer_),
                                [this](const asio::error_code &error, std::size_t size) {
                                    if (error == asio::error::eof)
                                        parser_.finish();
                                    else if (error)
                                        fail("connection lost: " + error.message());
                                    else
                                        onData({buffer_.data(), size});
                                    if (parser_.error())
                                        fail("malformed answer: " + parser_.error()->message_);
                                    if (!isDone_ && error)
                                        fail("peer closed the connection during the call");
                                    if (hasEnded())
                                        context_.stop();
                                    else
                                        read();
                                });
    }

    void onData(std::string_view data)
    {
        while (!data.empty() && !hasEnded() && !parser_.error()) {
            const std::size_t used = parser_.feed(data);
            data.remove_prefix(used);
            interimBytes_ += isInterim_ ? used : 0;
            if (interimBytes_ > HttpExchange::kMaxHeadBytes)
                fail("too many bytes before the answer");
            if (!parser_.isComplete() || isDone_)
                continue;
            parser_.next(); // an interim answer has ended
        }
    }

    [[nodiscard]] bool hasEnded() const
    {
        return isDone_ || isAborted_ || isLate_ || !failure_.empty();
    }

    void fail(const std::string &what)
    {
        if (failure_.empty())
            failure_ = what;
    }

    void onHead(MessageHead head) override
    {
        isInterim_ = head.status_ < kFirstFinalStatus;
        if (isInterim_)
            return;
        const std::string *contentType = head.find("Content-Type");
        isAborted_ = !sink_.onHead(head.status_, contentType == nullptr ? "" : *contentType);
        framing_ = head.framing_;
    }

    void onBody(std::string_view data) override
    {
        isLate_ = isLate_ || clock_.now() >= deadline_;
        if (!isAborted_ && !isInterim_ && !isLate_)
            isAborted_ = !sink_.onData(data);
    }

    void onMessageEnd() override
    {
        if (framing_ == BodyFraming::UntilClose && !sink_.acceptsUnstatedEnd())
            fail("peer ended its answer by a close, without a length or chunks");
        else
            isDone_ = !isInterim_;
    }

    const Clock &clock_;
    TimePoint deadline_;
    TargetSink &sink_;
    asio::io_context context_;
    asio::ip::tcp::socket socket_;
    MessageParser parser_;
    std::array<char, kReadBytes> buffer_{};
    std::size_t interimBytes_ = 0;
    BodyFraming framing_ = BodyFraming::None;
    bool isInterim_ = true; // no final answer has begun
    bool isDone_ = false;
    bool isLate_ = false; // the body goes on behind the deadline
    bool isAborted_ = false; // by the sink
    std::string failure_;
};

// Keeps a whole answer up to the limit.
class BufferingSink final : public TargetSink
{
public:
    bool onHead(int status, const std::string &) override
    {
        answer_.status_ = status;
        return true;
    }

    bool onData(std::string_view data) override
    {
        isTooLong_ = answer_.body_.size() + data.size() > HttpExchange::kMaxBufferedBytes;
        if (!isTooLong_)
            answer_.body_ += data;
        return !isTooLong_;
    }

    // What is called this way answers with JSON, which its reader checks.
    [[nodiscard]] bool acceptsUnstatedEnd() const override { return true; }

    [[nodiscard]] bool isTooLong() const { return isTooLong_; }
    [[nodiscard]] BufferedAnswer &answer() { return answer_; }

private:
    BufferedAnswer answer_;
    bool isTooLong_ = false;
};

} // namespace

HttpExchange::HttpExchange(std::string host, int port, const Clock &clock)
    : host_(std::move(host))
    , port_(port)
    , clock_(&clock)
{ }

Result<void> HttpExchange::run(MessageHead head, std::string_view body, TimePoint deadline,
                               TargetSink &sink) const
{
    head.add("Host", concat(host_, ":", port_));
    head.add("Connection", "close");
    if (!body.empty() || head.method_ == "POST")
        head.add("Content-Length", std::to_string(body.size()));
    Connection connection(*clock_, deadline, sink);
    if (!connection.connect(host_, port_))
        return notRun(ErrorCode::TargetFailed, "peer refused the connection");
    return connection.exchange(concat(requestText(head), body), head.method_ == "HEAD");
}

Result<BufferedAnswer> HttpExchange::call(MessageHead head, std::string_view body,
                                          TimePoint deadline) const
{
    BufferingSink sink;
    const Result<void> done = run(std::move(head), body, deadline, sink);
    if (sink.isTooLong())
        return outcomeUnknown(ErrorCode::TargetFailed, "the answer is longer than the limit");
    if (!done)
        return tl::unexpected(done.error());
    return std::move(sink.answer());
}

Result<BufferedAnswer> HttpExchange::get(const std::string &target, TimePoint deadline) const
{
    MessageHead head;
    head.method_ = "GET";
    head.target_ = target;
    return call(std::move(head), "", deadline);
}

} // namespace foxtailturn
