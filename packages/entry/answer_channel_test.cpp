#include "entry/answer_channel.h"

#include <thread>
#include <vector>

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

// A caller's connection that keeps what it is given.
struct FakeSink final : callers::AnswerSink
{
    void sendAnswer(std::string bytes) override { text_ += bytes; }
    void endAnswer() override { isEnded_ = true; }
    void abortAnswer(callers::AnswerBreak how) override { aborted_ = how; }
    void endWithConnection() override { isUntilClose_ = true; }
    [[nodiscard]] bool closesAfterAnswer() const override { return closes_; }
    [[nodiscard]] std::size_t unsentBytes() const override { return unsent_; }
    [[nodiscard]] bool hasCallerLeft() override { return false; }

    std::string text_;
    bool isEnded_ = false;
    bool isUntilClose_ = false;
    bool closes_ = false;
    std::size_t unsent_ = 0;
    std::optional<callers::AnswerBreak> aborted_;
};

struct Fixture
{
    asio::io_context context_;
    std::shared_ptr<memory::MemoryAccount> memory_ =
        memory::MemoryAccount::create(memory::MemoryBounds::forMachine(1'000'000));
    FakeSink sink_;
    int starts_ = 0;
    std::shared_ptr<AnswerChannel> channel_ = std::make_shared<AnswerChannel>(
        AnswerLoop{context_, *memory_}, sink_, 1000, [this](const auto &) { ++starts_; });

    static MessageHead head(BodyFraming framing)
    {
        MessageHead head;
        head.status_ = 200;
        head.framing_ = framing;
        return head;
    }

    void runLoop()
    {
        context_.restart();
        context_.poll();
    }
};

} // namespace

TEST_CASE("an answer is framed as its head says")
{
    struct Case
    {
        BodyFraming framing_;
        bool closes_;
        std::string text_;
    };
    const Case cases[] = {
        {BodyFraming::None, false, "HTTP/1.1 200 OK\r\n\r\nabcd"},
        {BodyFraming::None, true, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabcd"},
        {BodyFraming::Chunks, false,
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n"},
        {BodyFraming::UntilClose, false, "HTTP/1.1 200 OK\r\n\r\nabcd"},
    };
    for (const Case &each : cases) {
        CAPTURE(each.text_);
        Fixture f;
        f.sink_.closes_ = each.closes_;
        f.channel_->start();
        f.channel_->sendHead(Fixture::head(each.framing_));
        CHECK(f.channel_->send("ab"));
        CHECK(f.channel_->send("cd"));
        f.channel_->finish();
        f.runLoop();
        CHECK(f.starts_ == 1);
        CHECK(f.sink_.text_ == each.text_);
        CHECK(f.sink_.isEnded_);
        CHECK(f.sink_.isUntilClose_ == (each.framing_ == BodyFraming::UntilClose));
    }
}

// Guards against a thread that runs ahead of its caller.
TEST_CASE("the thread waits while the caller does not read")
{
    Fixture f;
    f.sink_.unsent_ = 1'000'000;
    f.channel_->sendHead(Fixture::head(BodyFraming::Chunks));
    CHECK(f.channel_->send("first"));
    f.runLoop();
    bool isSent = false;
    std::thread thread([&] { isSent = f.channel_->send("second"); });
    f.sink_.unsent_ = 0;
    f.channel_->onAnswerDrained();
    thread.join();
    CHECK(isSent);
    f.runLoop();
    CHECK(f.sink_.text_.find("second") != std::string::npos);
}

TEST_CASE("a thread that waits for a caller learns that it has left")
{
    Fixture f;
    f.sink_.unsent_ = 1'000'000;
    f.channel_->sendHead(Fixture::head(BodyFraming::Chunks));
    CHECK(f.channel_->send("first"));
    f.runLoop();
    bool isSent = true;
    std::thread thread([&] { isSent = f.channel_->send("second"); });
    f.channel_->cancel();
    thread.join();
    CHECK(!isSent);
    CHECK(f.channel_->hasCallerLeft());
    f.channel_->finish();
    f.runLoop();
    CHECK(!f.sink_.isEnded_);
}

TEST_CASE("a stop answers before the head and breaks off behind it")
{
    Fixture before;
    before.channel_->setShutDownAnswer("stopped");
    before.channel_->shutDown();
    CHECK(before.sink_.text_ == "stopped");
    CHECK(before.sink_.isEnded_);
    for (const auto &[framing, how] :
         {std::pair(BodyFraming::Chunks, callers::AnswerBreak::Close),
          std::pair(BodyFraming::UntilClose, callers::AnswerBreak::Reset)}) {
        Fixture f;
        f.channel_->sendHead(Fixture::head(framing));
        f.runLoop();
        f.channel_->shutDown();
        CHECK(f.sink_.aborted_ == how);
        CHECK(!f.channel_->send("late"));
    }
}

TEST_CASE("the request's bytes are held until it is no longer worked on")
{
    Fixture f;
    CHECK(f.memory_->held(memory::MemoryKind::Request) == 1000);
    f.channel_->cancel();
    f.runLoop();
    CHECK(f.memory_->held(memory::MemoryKind::Request) == 1000);
    f.channel_->done();
    f.runLoop();
    CHECK(f.memory_->total() == 0);
}

} // namespace foxtailturn
