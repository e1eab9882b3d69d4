#pragma once

// A caller's connection: reads requests one after the other, starts a Relay for each and writes the
// answers.
//
//     CallerListener listener(gateway, meter);
//     listener.listen("10.0.0.5:8080");
//     listener.drain();     // graceful shutdown: answers carry "Connection: close"

#include <memory>
#include <set>

#include "gateway/gateway.h"
#include "gateway/loop_meter.h"
#include "http1/message_parser.h"

namespace foxtailturn::gateway {

class CallerListener;

// Not thread-safe.
class CallerConnection final : public std::enable_shared_from_this<CallerConnection>,
                               MessageSink,
                               AnswerSink
{
public:
    // listener and gateway must outlive the connection.
    CallerConnection(CallerListener &listener, Gateway &gateway, asio::ip::tcp::socket socket);

    void start();

    // Closes the connection if it is idle. Otherwise it closes after its answer, provided that the
    // listener is draining.
    void drain();

    // Ends the request in progress because the process is about to stop.
    void shutDown();

    // Closes the connection and cancels its request.
    void close();

    [[nodiscard]] bool isIdle() const { return !relay_ && !hasHead_; }

private:
    void onData(std::string_view data);
    void onClosed();
    // receivedAt: when the unparsed bytes were received.
    void readRequests(TimePoint receivedAt);
    void beginRequest();
    void refuse(Refusal refusal);
    void refuseAndClose(int status, ErrorCode code);
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
    Gateway &gateway_;
    std::shared_ptr<ByteStream> stream_;
    MessageParser parser_;
    asio::steady_timer timer_;
    std::string unparsed_; // received bytes that are not parsed yet, such as pipelined requests
    MessageHead head_;
    std::string body_;
    bool hasHead_ = false;
    bool keepsAlive_ = true;
    bool isDiscarding_ = false; // after the last answer: further input is discarded
    bool isReading_ = false; // in readRequests(), which must not be re-entered
    TimePoint receivedAt_{};
    std::shared_ptr<Relay> relay_;
};

// Accepts callers. Not thread-safe.
class CallerListener
{
public:
    // The gateway and the meter must outlive the listener.
    CallerListener(Gateway &gateway, LoopMeter &meter);

    // Error: InvalidSettings when the address can't be used.
    [[nodiscard]] Result<void> listen(const std::string &address);

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

private:
    friend class CallerConnection;

    void accept();

    Gateway &gateway_;
    LoopMeter &meter_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer acceptTimer_;
    std::set<std::shared_ptr<CallerConnection>> connections_;
    bool isDraining_ = false;
};

} // namespace foxtailturn::gateway
