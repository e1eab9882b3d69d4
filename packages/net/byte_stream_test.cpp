#include "net/byte_stream.h"

#include <doctest/doctest.h>

#include <thread>
#include <vector>

namespace foxtailturn {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kAnswerBytes = 200'000;
constexpr std::size_t kUnreadBytes = 80'000;

// A stream on a loop, and its peer, which blocks.
struct Fixture
{
    Fixture()
        : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0})
        , peer_(context_)
    {
        peer_.connect(acceptor_.local_endpoint());
        stream_ = ByteStream::create(acceptor_.accept());
        stream_->start([](std::string_view) {}, [](const asio::error_code &) {});
    }

    // Returns the accepted side of a connection of a new peer_.
    asio::ip::tcp::socket connect()
    {
        peer_ = asio::ip::tcp::socket(context_);
        peer_.connect(acceptor_.local_endpoint());
        return acceptor_.accept();
    }

    void run(milliseconds time)
    {
        context_.restart();
        context_.run_for(time);
    }

    // Reads until the connection ends.
    asio::error_code readAll()
    {
        asio::error_code error;
        std::thread loop([this] { run(milliseconds(2000)); });
        asio::read(peer_, asio::dynamic_buffer(received_), error);
        peer_.close();
        loop.join();
        return error;
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket peer_;
    std::shared_ptr<ByteStream> stream_;
    std::string received_;
};

} // namespace

// Guards against a reset that takes an answer from a peer because it sent more than was read.
TEST_CASE("a finished stream delivers all bytes although unread ones arrive")
{
    Fixture fixture;
    fixture.stream_->pause();
    asio::write(fixture.peer_, asio::buffer(std::string(kUnreadBytes, 'u')));
    fixture.stream_->send(std::string(kAnswerBytes, 'a'));
    fixture.stream_->finish();
    fixture.run(milliseconds(50));
    CHECK(fixture.readAll() == asio::error::eof);
    CHECK(fixture.received_.size() == kAnswerBytes);
}

// Guards against a connection that a peer keeps open for good.
TEST_CASE("a finished stream closes although its peer doesn't")
{
    Fixture fixture;
    fixture.stream_->send("answer");
    fixture.stream_->finish();
    fixture.run(milliseconds(200));
    CHECK(fixture.stream_->isOpen());
    fixture.run(milliseconds(1500));
    CHECK_FALSE(fixture.stream_->isOpen());
}

// Guards against a broken message that looks whole because its connection closed.
TEST_CASE("a stream whose close ends its message is reset unless it is finished")
{
    Fixture broken;
    broken.stream_->resetUnlessFinished();
    broken.stream_->send("ans");
    broken.run(milliseconds(50));
    broken.stream_->close();
    CHECK(broken.readAll() == asio::error::connection_reset);

    Fixture whole;
    whole.stream_->resetUnlessFinished();
    whole.stream_->send("answer");
    whole.stream_->finish();
    CHECK(whole.readAll() == asio::error::eof);
    CHECK(whole.received_ == "answer");
}

// Guards against a reset that looks like an orderly end of the peer's bytes, because a write got
// the system's only report of it.
TEST_CASE("a reset is reported as one while bytes are waiting to be sent")
{
    Fixture fixture;
    constexpr std::size_t kMoreThanSocketsHold = 50'000'000;
    std::string data;
    std::vector<asio::error_code> ends;
    auto stream = ByteStream::create(fixture.connect());
    stream->start([&](std::string_view bytes) { data += bytes; },
                  [&](const asio::error_code &error) { ends.push_back(error); });
    stream->send(std::string(kMoreThanSocketsHold, 'r'));
    asio::write(fixture.peer_, asio::buffer(std::string("answer")));
    fixture.run(milliseconds(50));
    REQUIRE(stream->queuedBytes() > 0);
    REQUIRE(data == "answer");
    fixture.peer_.set_option(asio::socket_base::linger(true, 0));
    fixture.peer_.close();
    fixture.run(milliseconds(200));
    CHECK(ends == std::vector<asio::error_code>{asio::error::connection_reset});
}

// Guards against a peer that is taken for silent though its bytes wait to be read.
TEST_CASE("bytes are unread from their arrival until the loop reads them")
{
    Fixture f;
    CHECK_FALSE(f.stream_->hasUnreadBytes());
    asio::write(f.peer_, asio::buffer(std::string("a")));
    std::this_thread::sleep_for(milliseconds(20));
    CHECK(f.stream_->hasUnreadBytes());
    f.run(milliseconds(20));
    CHECK_FALSE(f.stream_->hasUnreadBytes());
    f.peer_.close();
    std::this_thread::sleep_for(milliseconds(20));
    CHECK_FALSE(f.stream_->hasUnreadBytes());
    f.stream_->close();
    CHECK_FALSE(f.stream_->hasUnreadBytes());
}

} // namespace foxtailturn
