#include "agent/target_client.h"

#include <asio.hpp>
#include <doctest/doctest.h>

#include <thread>

namespace foxtailturn {

namespace {

struct Recorder final : TargetSink
{
    bool onHead(int status, const std::string &) override
    {
        status_ = status;
        return true;
    }
    bool onData(std::string_view data) override
    {
        body_ += data;
        return true;
    }

    int status_ = 0;
    std::string body_;
};

// A loopback server that answers the first connection with the given bytes and closes; it closes
// the next one, the client's health check, at once.
class Server
{
public:
    explicit Server(std::string answer)
        : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0})
        , port_(acceptor_.local_endpoint().port())
        , thread_([this, answer = std::move(answer)] { serve(answer); })
    { }
    ~Server() { thread_.join(); }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    [[nodiscard]] int port() const { return port_; }

private:
    void serve(const std::string &answer)
    {
        asio::ip::tcp::socket peer = acceptor_.accept();
        std::string request;
        asio::read_until(peer, asio::dynamic_buffer(request), "\r\n\r\n");
        asio::write(peer, asio::buffer(answer));
        peer.shutdown(asio::ip::tcp::socket::shutdown_send);
        peer.close();
        acceptor_.close();
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    int port_;
    std::thread thread_;
};

} // namespace

// Guards against a target that closes within the head of its answer, which would then be taken for
// an answer without a body.
TEST_CASE("an answer whose head is cut at any byte fails")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    const SystemClock clock;
    for (std::size_t size = 0; size <= head.size(); ++size) {
        CAPTURE(head.substr(0, size));
        const Server server(head.substr(0, size));
        HttpTargetClient client("127.0.0.1", server.port(), clock);
        Recorder recorder;
        TargetRequest request;
        request.method_ = "GET";
        request.path_ = "/";
        request.deadline_ = clock.now() + std::chrono::seconds(5);
        const Result<void> done = client.call(request, recorder);
        CHECK(done.has_value() == (size == head.size()));
        CHECK(recorder.status_ == (size == head.size() ? 200 : 0));
        if (!done)
            CHECK(done.error().execution_ == Execution::OutcomeUnknown);
    }
}

} // namespace foxtailturn
