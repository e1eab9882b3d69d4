#include "http1/message_parser.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace foxtailturn {

namespace {

struct Recorder final : MessageSink
{
    void onHead(MessageHead head) override { head_ = std::move(head); }
    void onBody(std::string_view data) override { body_ += data; }
    void onMessageEnd() override { ++ended_; }

    MessageHead head_;
    std::string body_;
    int ended_ = 0;
};

constexpr std::size_t kHeaderLimit = 200;

const std::vector<std::string> kStartLines = {
    "GET / HTTP/1.1\r\n",        "POST /x HTTP/1.0\r\n",        "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 100 Continue\r\n", "HTTP/1.0 204 No Content\r\n", "HTTP/1.1 304 Not Modified\r\n",
};

// What may follow in any order, sound or not.
const std::vector<std::string> kPieces = {
    "Content-Length: 3\r\n",
    "Content-Length : 3\r\n",
    "Content-Length: 99999999999999999999\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Transfer-Encoding: gzip\r\n",
    "Host: a\r\n",
    "Connection: close\r\n",
    " folded\r\n",
    "\r\n",
    "\n",
    "3\r\nabc\r\n",
    "0\r\n",
    "ffffffffffffffff1\r\n",
    "abc",
    std::string(150, 'x'),
    std::string("\0\xff", 2),
};

// Everything that a parser tells about a connection's bytes.
struct Reading
{
    std::vector<MessageHead> heads_;
    std::string body_; // of all messages, each with its end
    bool isError_ = false;

    bool operator==(const Reading &) const = default;
};

struct ReadingSink final : MessageSink
{
    void onHead(MessageHead head) override { reading_.heads_.push_back(std::move(head)); }
    void onBody(std::string_view data) override { reading_.body_ += data; }
    void onMessageEnd() override { reading_.body_ += '|'; }

    Reading reading_;
};

// Reads one message after the other from bytes that come in portions, up to the peer's close.
Reading readAll(MessageKind kind, const std::vector<std::string> &portions)
{
    ReadingSink sink;
    MessageParser parser(kind, kHeaderLimit, sink);
    for (std::string_view rest : portions) {
        while (!rest.empty() && !parser.error()) {
            rest.remove_prefix(parser.feed(rest));
            if (parser.isComplete())
                parser.next();
        }
    }
    if (!parser.error())
        parser.finish();
    sink.reading_.isError_ = parser.error().has_value();
    return std::move(sink.reading_);
}

std::vector<std::string> portionsOf(std::string_view text, const std::vector<unsigned> &sizes)
{
    std::vector<std::string> portions;
    for (std::size_t i = 0; !text.empty(); ++i) {
        const std::size_t size = i < sizes.size() ? sizes[i] % 20 + 1 : text.size();
        portions.emplace_back(text.substr(0, size));
        text.remove_prefix(std::min(size, text.size()));
    }
    return portions;
}

} // namespace

// Guards against smuggling: what one side takes for a body the other could take for a request.
TEST_CASE("requests with ambiguous framing are errors")
{
    const std::string cases[] = {
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "CONNECT a:1 HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nbad header\r\n\r\n",
        "GET / HTTP/1.1\r\nTenant : x\r\n\r\n",
        "GET / HTTP/1.1\r\nA: 1\r\nContent-Length : 3\r\n\r\nabc",
        "GET / HTTP/1.1\r\nA b: 1\r\n\r\n",
        "GET / HTTP/1.1\r\nA\t: 1\r\n\r\n",
        "GET / HTTP/1.1\r\n: 1\r\n\r\n",
    };
    for (const std::string &text : cases) {
        CAPTURE(text);
        Recorder recorder;
        MessageParser parser(MessageKind::Request, kHeaderLimit, recorder);
        parser.feed(text);
        REQUIRE(parser.error());
        CHECK(parser.error()->code_ == ErrorCode::BadRequest);
    }
}

// Guards against reading a second request as part of the first.
TEST_CASE("pipelined requests are read one at a time")
{
    const std::string text =
        "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET /b HTTP/1.1\r\n\r\n";
    Recorder recorder;
    MessageParser parser(MessageKind::Request, kHeaderLimit, recorder);
    const std::size_t used = parser.feed(text);
    CHECK(parser.isComplete());
    CHECK(recorder.head_.target_ == "/a");
    CHECK(recorder.body_ == "hi");
    parser.next();
    parser.feed(std::string_view(text).substr(used));
    CHECK(parser.isComplete());
    CHECK(recorder.head_.target_ == "/b");
    CHECK(recorder.ended_ == 2);
}

// Guards against chunks for a peer that does not know them.
TEST_CASE("a head tells whether its sender reads chunks")
{
    struct Case
    {
        std::string line_;
        bool canReadChunks_;
    };
    const Case cases[] = {
        {"GET / HTTP/1.0", false},
        {"GET / HTTP/1.1", true},
        {"GET / HTTP/0.9", false},
    };
    for (const Case &c : cases) {
        CAPTURE(c.line_);
        Recorder recorder;
        MessageParser parser(MessageKind::Request, kHeaderLimit, recorder);
        parser.feed(c.line_ + "\r\nHost: a\r\n\r\n");
        CHECK(recorder.head_.canReadChunks_ == c.canReadChunks_);
    }
}

// Guards against a header split over reads being counted or joined wrongly.
TEST_CASE("a request in single bytes gives the same head")
{
    const std::string text = "POST /x/y?z=1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    Recorder recorder;
    MessageParser parser(MessageKind::Request, kHeaderLimit, recorder);
    for (const char c : text)
        CHECK(parser.feed(std::string_view(&c, 1)) == 1);
    CHECK(parser.isComplete());
    CHECK(recorder.head_.target_ == "/x/y?z=1");
    CHECK(*recorder.head_.find("host") == "a");
    CHECK(recorder.head_.framing_ == BodyFraming::Chunks);
    CHECK(recorder.body_ == "abc");
}

// Guards against bytes that are a message, or its end, in one portion and not in several: an entry
// and a target may read them in different ones.
TEST_CASE("any bytes are read the same way in whichever portions they come")
{
    CHECK(rc::check([](const std::vector<unsigned> &picks, const std::vector<unsigned> &sizes) {
        std::string text;
        for (std::size_t i = 0; i < picks.size(); ++i) {
            const std::vector<std::string> &from = i % 6 == 0 ? kStartLines : kPieces;
            text += from[picks[i] % from.size()];
        }
        for (const MessageKind kind : {MessageKind::Request, MessageKind::Response})
            RC_ASSERT(readAll(kind, {text}) == readAll(kind, portionsOf(text, sizes)));
    }));
}

// Guards against unbounded memory for a header without end.
TEST_CASE("a header over the limit is PayloadTooLarge")
{
    Recorder recorder;
    MessageParser parser(MessageKind::Request, kHeaderLimit, recorder);
    parser.feed("GET / HTTP/1.1\r\nA: " + std::string(kHeaderLimit, 'x'));
    REQUIRE(parser.error());
    CHECK(parser.error()->code_ == ErrorCode::PayloadTooLarge);
}

// Guards against the same for bytes that no field or target holds.
TEST_CASE("a start line or trailer without end is PayloadTooLarge")
{
    for (const std::string begin :
         {"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: "}) {
        CAPTURE(begin);
        Recorder recorder;
        MessageParser parser(MessageKind::Response, kHeaderLimit, recorder);
        parser.feed(begin);
        for (int i = 0; i < 200 && !parser.error(); ++i)
            parser.feed(std::string(1000, 'x'));
        REQUIRE(parser.error());
        CHECK(parser.error()->code_ == ErrorCode::PayloadTooLarge);
    }
}

// Guards against a truncated answer that looks whole, and a whole one that looks truncated.
TEST_CASE("a response without a length ends with its connection")
{
    Recorder recorder;
    MessageParser parser(MessageKind::Response, kHeaderLimit, recorder);
    parser.feed("HTTP/1.1 200 OK\r\n\r\nab");
    CHECK(recorder.head_.framing_ == BodyFraming::UntilClose);
    CHECK_FALSE(parser.isComplete());
    parser.finish();
    CHECK(parser.isComplete());

    parser.next();
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
    CHECK(recorder.head_.framing_ == BodyFraming::Length);
    parser.finish();
    REQUIRE(parser.error());
}

// Guards against an answer with an invalid status, or one that is taken for an interim answer.
TEST_CASE("a status outside 100 to 599 is an error")
{
    struct Case
    {
        std::string status_;
        bool isError_;
    };
    for (const Case &c :
         {Case{"000", true}, Case{"001", true}, Case{"099", true}, Case{"100", false},
          Case{"599", false}, Case{"600", true}, Case{"999", true}}) {
        CAPTURE(c.status_);
        Recorder sink;
        MessageParser parser(MessageKind::Response, kHeaderLimit, sink);
        parser.feed("HTTP/1.1 " + c.status_ + " Odd\r\nContent-Length: 0\r\n\r\n");
        CHECK(parser.error().has_value() == c.isError_);
        CHECK((sink.head_.status_ != 0) == !c.isError_);
    }
}

// Guards against a wait for a body that a status or method rules out, whatever the fields say.
TEST_CASE("a response without a body ends with its head")
{
    for (const std::string status : {"204 No", "304 No", "100 Go"}) {
        for (const std::string field :
             {"", "Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n"}) {
            CAPTURE(status);
            CAPTURE(field);
            Recorder recorder;
            MessageParser parser(MessageKind::Response, kHeaderLimit, recorder);
            std::string text = "HTTP/1.1 ";
            text.append(status).append("\r\n").append(field).append("\r\n");
            parser.feed(text);
            CHECK(parser.isComplete());
            CHECK(recorder.head_.framing_ == BodyFraming::None);
        }
    }
}

// Guards against a response that counts as whole although the peer closed within its head.
TEST_CASE("a response head that is cut at any byte is an error")
{
    const std::string heads[] = {
        "HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA: 1\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 503 No\r\nA: 1\r\n\r\n",
        "HTTP/1.0 200 OK\nA: 1\n\n",
    };
    for (const std::string &head : heads) {
        for (std::size_t size = 1; size < head.size(); ++size) {
            CAPTURE(head.substr(0, size));
            Recorder recorder;
            MessageParser parser(MessageKind::Response, kHeaderLimit, recorder);
            parser.feed(head.substr(0, size));
            parser.finish();
            CHECK(parser.error());
            CHECK(recorder.head_.status_ == 0);
            CHECK(recorder.ended_ == 0);
        }
    }
}

// Guards against forwarding fields of one connection to the next.
TEST_CASE("hop-by-hop fields and those that Connection names are not forwarded")
{
    MessageHead head;
    head.add("Connection", "close, X-Hop");
    head.add("X-Hop", "1");
    head.add("Keep-Alive", "timeout=5");
    head.add("Content-Length", "4");
    head.add("X-Kept", "2");
    CHECK(forwardableFields(head) == std::vector<HeaderField>{{"X-Kept", "2"}});
}

// Guards against many short fields, which take far more memory than their bytes.
TEST_CASE("what a parser keeps of a head is told, with the cost of each field")
{
    Recorder recorder;
    MessageParser parser(MessageKind::Request, 10'000, recorder);
    CHECK(parser.heldBytes() == 0);
    std::string text = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 1000; ++i)
        text += "a:\r\n";
    parser.feed(text);
    CHECK(parser.heldBytes() >= 1000 * sizeof(HeaderField));
    parser.feed("\r\n");
    CHECK(parser.heldBytes() == 0);
    CHECK(heldBytes(recorder.head_) >= 1000 * sizeof(HeaderField));
}

} // namespace foxtailturn
