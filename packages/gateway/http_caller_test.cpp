#include "gateway/http_caller.h"

#include <doctest/doctest.h>

#include "gateway/codec_testing.h"
#include "gateway/read_limits.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A loopback server that sends one head and then a body, piece by piece until the peer closes.
class Server
{
public:
    Server(asio::io_context &context, std::size_t bodyBytes)
        : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0})
        , socket_(context)
        , bodyBytes_(bodyBytes)
    {
        acceptor_.async_accept(socket_, [this](const asio::error_code &error) {
            if (!error)
                write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes_)
                      + "\r\n\r\n");
        });
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    [[nodiscard]] std::size_t sent() const { return sent_; }

private:
    static constexpr std::size_t kPiece = 65'536; // bytes

    void write(std::string piece)
    {
        const auto text = std::make_shared<std::string>(std::move(piece));
        asio::async_write(socket_, asio::buffer(*text),
                          [this, text](const asio::error_code &error, std::size_t) {
                              if (error || sent_ == bodyBytes_)
                                  return;
                              const std::size_t next = std::min(kPiece, bodyBytes_ - sent_);
                              sent_ += next;
                              write(std::string(next, 'x'));
                          });
    }

    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket socket_;
    std::size_t bodyBytes_;
    std::size_t sent_ = 0;
};

} // namespace

// Guards against memory that grows with an answer without end, until the call's timeout: an
// engine's report took 541 MB in 3 s. An answer at the limit is read.
TEST_CASE("an answer above the limit is no answer, and its connection is closed at once")
{
    struct Case
    {
        std::size_t bytes_;
        int status_;
    };
    const Case cases[] = {{read_limits::kMaxAnswerBytes, 200},
                          {read_limits::kMaxAnswerBytes + 1, 0},
                          {1'000'000'000, 0}};
    for (const Case &c : cases) {
        CAPTURE(c.bytes_);
        asio::io_context context;
        PlainCodec codec;
        SystemClock clock;
        Server server(context, c.bytes_);
        HttpCaller caller(context, codec, clock);
        std::optional<HttpAnswer> answer;
        caller.call(server.address(), HttpCall(), seconds(20), [&](const HttpAnswer &received) {
            REQUIRE_FALSE(answer);
            answer = received;
        });
        const TimePoint deadline = clock.now() + seconds(10);
        while (!answer && clock.now() < deadline)
            context.run_for(milliseconds(10));
        REQUIRE(answer);
        CHECK(answer->status_ == c.status_);
        CHECK(answer->body_.size() == (c.status_ == 0 ? 0 : c.bytes_));
        context.run_for(milliseconds(50));
        const std::size_t sent = server.sent();
        context.run_for(milliseconds(50));
        CHECK(server.sent() == sent);
        CHECK(sent <= 4 * read_limits::kMaxAnswerBytes);
    }
}

} // namespace foxtailturn::gateway
