#pragma once

// A caller's connection: reads requests one after the other, starts an Exchange for each and writes
// the answers.
//
//     CallerListener listener(service, meter);
//     listener.listen("10.0.0.5:8080");
//     listener.drain();     // graceful shutdown: answers carry "Connection: close"

#include <deque>
#include <limits>
#include <memory>
#include <set>
#include <vector>

#include "callers/caller_service.h"
#include "http1/message_parser.h"
#include "memory/body_buffer.h"
#include "net/byte_stream.h"
#include "net/loop_meter.h"

namespace foxtailturn::callers {

class CallerListener;

// Not thread-safe.
class CallerConnection final : public std::enable_shared_from_this<CallerConnection>,
                               MessageSink,
                               AnswerSink
{
public:
    // listener and service must outlive the connection.
    CallerConnection(CallerListener &listener, CallerService &service,
                     asio::ip::tcp::socket socket);

    void start();

    // Closes the connection if it is idle. Otherwise it closes after its answer, provided that the
    // listener is draining.
    void drain();

    // Ends the request in progress because the process is about to stop.
    void shutDown();

    // Closes the connection and cancels its request.
    void close();

    [[nodiscard]] bool hasUnsentAnswer() const { return stream_->queuedBytes() > 0; }

    [[nodiscard]] bool isIdle() const { return !exchange_ && !hasHead_; }

    // Continues to read a body that waits for memory.
    void resumeReading();

    // Refuses the request that is being read, or breaks the answer off that the caller does not
    // read, to give its memory back.
    void shed();

    // Returns what shed() would give back; no bytes if nothing.
    [[nodiscard]] memory::Holder holder();

    // When reading was paused for want of memory; nothing if it is not.
    [[nodiscard]] std::optional<TimePoint> pausedAt() const { return pausedAt_; }

    // When the caller last sent bytes, or the connection was accepted.
    [[nodiscard]] TimePoint progressAt() const { return progressAt_; }

    // In the order in which connections are closed for new ones. Served ones are not.
    enum class Use {
        Idle,
        Unfinished, // a request is being read
        Unread, // the caller does not take its answer
        Served,
    };
    [[nodiscard]] Use use() const;

    // Closes the connection to make room for others.
    void closeForAnother();

private:
    void onData(std::string_view data);
    void onClosed();
    // receivedAt: when the unparsed bytes were received.
    void readRequests(TimePoint receivedAt);
    void beginRequest();
    void refuse(Refusal refusal);
    void refuseAndClose(int status, ErrorCode code);
    // Refuses a request that was not read to its end, and closes the connection.
    void refuseUnread(const Refusal &refusal);
    void refuseForMemory();
    void beginDiscard();
    // Counts what is held of the request that is being read, and makes room if that is too much.
    void updateHold();
    [[nodiscard]] const std::string &owner();
    void armTimer(Duration wait, bool isForHeader);

    void onHead(MessageHead head) override;
    void onBody(std::string_view data) override;
    void onMessageEnd() override;

    void sendAnswer(std::string bytes) override;
    void endAnswer() override;
    void abortAnswer(AnswerBreak how) override;
    void endWithConnection() override;
    [[nodiscard]] bool closesAfterAnswer() const override;
    [[nodiscard]] std::size_t unsentBytes() const override;
    [[nodiscard]] bool hasCallerLeft() override;

    CallerListener &listener_;
    CallerService &service_;
    std::shared_ptr<ByteStream> stream_;
    MessageParser parser_;
    asio::steady_timer timer_;
    std::string unparsed_; // received bytes that are not parsed yet, such as pipelined requests
    MessageHead head_;
    memory::BodyBuffer body_;
    memory::MemoryHold unfinished_; // unparsed bytes, head and body
    std::size_t headBytes_ = 0;
    std::string owner_; // of the request that is being read; empty until it is looked up
    std::optional<TimePoint> pausedAt_;
    bool hasReceiveBuffer_ = false; // of a bounded size
    bool hasHead_ = false;
    bool keepsAlive_ = true;
    bool isDiscarding_ = false; // after the last answer: further input is discarded
    bool isReading_ = false; // in readRequests(), which must not be re-entered
    TimePoint receivedAt_{};
    TimePoint progressAt_{};
    std::shared_ptr<Exchange> exchange_;
};

// Accepts callers. Not thread-safe.
class CallerListener
{
public:
    // The service and the meter must outlive the listener.
    CallerListener(CallerService &service, LoopMeter &meter);

    // Error: InvalidSettings when the address can't be used.
    [[nodiscard]] Result<void> listen(const std::string &address);

    // Accepts no more than this many connections at a time. Others are closed for new ones, in the
    // order of their use.
    void limitConnections(std::size_t max) { maxConnections_ = max; }

    // Begins the graceful shutdown; connections close after their next answer.
    void drain();
    [[nodiscard]] bool isDraining() const { return isDraining_; }

    // Closes connections without a request in progress.
    void closeIdle();

    // Ends all requests in progress because the process is about to stop.
    void endRequests();

    // Accepts no further connections.
    void stopAccepting();

    [[nodiscard]] std::size_t connections() const { return connections_.size(); }

    // Returns whether callers have yet to take bytes of their answers.
    [[nodiscard]] bool hasUnsentAnswers() const;

private:
    friend class CallerConnection;

    enum class SheddingScope {
        Unfinished, // requests that are being read
        All, // and answers that are not read
    };

    void accept();

    // In caller_shedding.cpp.

    // Returns whether there is room for another connection.
    [[nodiscard]] bool makeRoom();
    // Sheds callers if too much is held.
    void makeMemory();
    // The same from the loop, for callers that a exchange is about to send to.
    void makeMemoryLater();
    // Reads on, or sheds, a connection that waits for memory.
    void addPaused(CallerConnection &connection);
    void reviewPaused();
    void reviewPausedLater();
    // The stream is closed if its unsent bytes are needed.
    void addFlushing(const std::shared_ptr<ByteStream> &stream);
    // Sheds callers until no more than this many bytes are held, or nobody is left to give way.
    void shedTo(std::size_t bytes, SheddingScope scope);

    CallerService &service_;
    LoopMeter &meter_;
    std::size_t maxConnections_ = std::numeric_limits<std::size_t>::max();
    std::deque<std::weak_ptr<CallerConnection>> paused_; // the first has waited longest
    std::vector<std::weak_ptr<ByteStream>> flushing_; // last answers that callers still read
    asio::steady_timer pauseTimer_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer acceptTimer_;
    std::set<std::shared_ptr<CallerConnection>> connections_;
    bool isDraining_ = false;
    bool isMakingMemory_ = false; // a call of makeMemory() waits in the loop
};

} // namespace foxtailturn::callers
