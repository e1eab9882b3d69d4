#pragma once

// Carries the answer to one request from the thread that makes it to the caller's connection, which
// belongs to the event loop.
//
//     auto channel = std::make_shared<AnswerChannel>(loop, answer, request, work);   // event loop
//     channel->start();                                // calls work(channel), which starts a
//     thread
//
//     channel->sendHead(head);                         // the thread
//     if (channel->send(data))
//         channel->finish();
//     else
//         channel->breakOff();                         // the caller has left or does not read
//     channel->done();

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "base/clock.h"
#include "callers/caller_service.h"
#include "http1/message.h"
#include "memory/memory_account.h"

namespace foxtailturn {

// What the channels of a server share. The event loop's thread only.
struct AnswerLoop
{
    asio::io_context &context_;
    memory::MemoryAccount &memory_;
};

// The methods of Exchange are called on the event loop; the others by one thread at a time.
class AnswerChannel final : public callers::Exchange,
                            public std::enable_shared_from_this<AnswerChannel>
{
public:
    using Work = std::function<void(const std::shared_ptr<AnswerChannel> &channel)>;

    // requestBytes: held for the request until done(). The loop and the sink must outlive the
    // channel unless cancel() is called first.
    AnswerChannel(const AnswerLoop &loop, callers::AnswerSink &answer, std::size_t requestBytes,
                  Work work);

    // In place of the answer if the process stops before it has begun. Precondition: before
    // start().
    void setShutDownAnswer(std::string answer) { shutDownAnswer_ = std::move(answer); }

    void start() override;
    void cancel() override;
    void shutDown() override;
    void onAnswerDrained() override;

    // Sends the head. A body of unknown length is framed as framing_ says. Thread-safe.
    void sendHead(MessageHead head);

    // Sends a part of the body, and waits while the caller does not read. Returns false if the
    // caller has left or has read nothing for kMaxUnreadTime. Thread-safe.
    [[nodiscard]] bool send(std::string data);

    // The answer is complete. Thread-safe.
    void finish();

    // The answer can't be completed: closes the connection, so that its framing shows that.
    // Thread-safe.
    void breakOff();

    // The request is no longer worked on. Thread-safe.
    void done();

    // Returns whether nobody waits for the answer any more. Thread-safe.
    [[nodiscard]] bool hasCallerLeft() const { return hasLeft_; }

    // Returns whether sendHead() was called. Thread-safe.
    [[nodiscard]] bool hasBegun() const { return hasBegun_; }

    static constexpr Duration kMaxUnreadTime = std::chrono::seconds(10);

private:
    void begin(MessageHead head);
    void forward(const std::string &data, std::size_t size);
    void abort();
    void leave();
    // Runs a method on the loop, with this channel kept alive.
    template <typename Function>
    void post(Function function);

    AnswerLoop loop_;
    callers::AnswerSink *answer_; // the loop's thread only; null once it must not be called
    std::optional<memory::MemoryHold> requestHold_; // the loop's thread only
    Work work_;
    std::atomic<BodyFraming> framing_ = BodyFraming::None; // of the answer
    std::string shutDownAnswer_;
    std::atomic<bool> hasLeft_ = false;
    std::atomic<bool> hasBegun_ = false;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::size_t queued_ = 0; // bytes on their way to the loop
    bool isUnread_ = false; // the connection holds as many bytes as it may
};

} // namespace foxtailturn
