#pragma once

// A client connection that carries one HTTP exchange at a time, and a pool of idle ones.
//
//     ConnectionPool pool(context, codec, clock);
//     auto connection = pool.acquire("10.0.0.7:8080", connectDeadline);
//     connection->exchange(headAndBody, requestId, sink);
//     // later, in the sink: onReplyHead, onReplyBody..., onReplyEnd or onExchangeFailure
//
// A connection may be established late. A request that depends on the time is passed as a
// RequestWriter, which returns the text when it is written.
//
// Responses with the id of another request are skipped, as a faulty target may send one late or
// twice. An idle connection that receives bytes is closed.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "gateway/codec.h"
#include "http1/message_parser.h"
#include "net/byte_stream.h"
#include "net/endpoint.h"
#include "net/loop_meter.h"

namespace foxtailturn::gateway {

// Receives the response of one exchange. onReplyEnd() or onExchangeFailure() is the last call.
class ExchangeSink
{
public:
    virtual ~ExchangeSink() = default;

    virtual void onReplyHead(const MessageHead &head, const TargetReply &reply) = 0;
    virtual void onReplyBody(std::string_view data) = 0;
    virtual void onReplyEnd() = 0;

    // The error's execution_ tells whether the target may have received the request.
    virtual void onExchangeFailure(const Error &error) = 0;
};

// The bytes of a request. Not copied: the body, if it is given apart.
struct RequestBytes
{
    RequestBytes(std::string text, std::shared_ptr<const std::string> body = nullptr)
        : text_(std::move(text))
        , body_(std::move(body))
    { }

    std::string text_;
    std::shared_ptr<const std::string> body_; // follows the text; kept by its owner
};

// Returns a request that is about to be written, or nothing if it must not be sent any more. In the
// latter case the writer has called abandon().
using RequestWriter = std::function<std::optional<RequestBytes>()>;

// Whether a target accepts connections.
enum class Reachability {
    Reachable,
    Refused, // its system says that no process listens
    Unknown, // no answer in time
};

class ConnectionPool;

// Not thread-safe: belongs to the loop's thread.
class TargetConnection final : public std::enable_shared_from_this<TargetConnection>, MessageSink
{
public:
    // The connection attempt fails at connectDeadline. The pool must outlive the connection.
    TargetConnection(ConnectionPool &pool, std::string address, TimePoint connectDeadline);

    // Sends a request, as soon as the connection is established, and reports the response to sink.
    // An empty requestId accepts any response. Preconditions: no exchange is in progress; sink
    // outlives the exchange or abandon() is called.
    void exchange(std::string text, std::string requestId, bool expectsNoBody, ExchangeSink &sink);

    // Calls the writer once, here or from the loop, when the request can be written. It is not
    // called after the end of the exchange.
    void exchange(RequestWriter writer, std::string requestId, bool expectsNoBody,
                  ExchangeSink &sink);

    // Ends the exchange without a call of the sink and closes the connection, so that the target
    // drops the request.
    void abandon();

    // Stop and resume reading, so that TCP flow control slows down the target while the caller's
    // connection is congested.
    void pause();
    void resume();

    // Returns whether bytes of the request may have reached the network.
    [[nodiscard]] bool hasSent() const { return isSent_; }

    // Returns whether the target has sent bytes or closed, and the loop has not handled that yet.
    // Costs one system call.
    [[nodiscard]] bool hasUnread() const { return stream_ && stream_->hasUnread(); }

    [[nodiscard]] const std::string &address() const { return address_; }
    // Returns a time at or before which the target closed the connection; only at the end of an
    // exchange that the close has ended.
    [[nodiscard]] TimePoint closedSince() const { return closedSince_; }

    [[nodiscard]] bool isReused() const { return exchanges_ > 1; }
    [[nodiscard]] bool isUsable(TimePoint now) const;

private:
    friend class ConnectionPool;

    void connect();
    [[nodiscard]] bool hasConnectEnded();
    void onConnected(const asio::error_code &error);
    void finishCheck(Reachability reachability);
    void release();
    void sendRequest();
    void onData(std::string_view data);
    void onClosed(const asio::error_code &error);
    void fail(ErrorCode code, const std::string &message);
    void completeExchange();

    void onHead(MessageHead head) override;
    void onBody(std::string_view data) override;
    void onMessageEnd() override;

    ConnectionPool &pool_;
    std::string address_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer connectTimer_;
    std::shared_ptr<ByteStream> stream_;
    std::unique_ptr<MessageParser> parser_;
    ExchangeSink *sink_ = nullptr;
    RequestWriter writer_; // empty once the request was handed to the stream
    std::string requestId_;
    bool expectsNoBody_ = false;
    bool isSent_ = false; // bytes of the request may have reached the network
    bool isSkipping_ = false; // reading a response to another request
    std::size_t skippedBytes_ = 0; // of such responses during this exchange
    bool isResponseComplete_ = false; // the response to this exchange is complete
    bool keepsAlive_ = true;
    bool isClosed_ = false;
    bool isPaused_ = false;
    std::function<void(Reachability reachability)>
        checkHandler_; // of a connection without an exchange
    TimePoint usableUntil_ = TimePoint::max(); // an idle connection is not reused after this
    Duration idleTimeout_{}; // as the target announced it
    TimePoint connectedAt_{};
    TimePoint closedSince_{};
    int exchanges_ = 0;
};

// Idle connections by address. Not thread-safe.
class ConnectionPool
{
public:
    // All references must outlive the pool.
    ConnectionPool(asio::io_context &context, const PlatformCodec &codec, const Clock &clock);

    // Returns an idle connection that can still be used, or a new one.
    [[nodiscard]] std::shared_ptr<TargetConnection> acquire(const std::string &address,
                                                            TimePoint connectDeadline);

    // Returns a new connection, for requests that must not use an idle connection that may be dead.
    [[nodiscard]] std::shared_ptr<TargetConnection> open(const std::string &address,
                                                         TimePoint connectDeadline);

    // Opens a connection and keeps it as an idle one. Then calls the handler from the loop, with
    // whether the target has accepted it by the deadline.
    void check(const std::string &address, TimePoint connectDeadline,
               std::function<void(Reachability reachability)> handler);

    // Returns whether a connection to the address is idle that was established by that time and
    // that its target has not closed: its process still runs. Costs one system call for each.
    [[nodiscard]] bool hasOpenIdle(const std::string &address, TimePoint establishedBy) const;

    // Close the idle connections of an address, of all addresses, or those too old for reuse.
    void closeIdle(const std::string &address);
    void closeAllIdle();
    void closeExpired();

    // Counts what is done with the bytes of targets as work of this kind. The meter must outlive
    // the pool.
    void setMeter(LoopMeter &meter, WorkKind kind)
    {
        meter_ = &meter;
        workKind_ = kind;
    }

    [[nodiscard]] std::uint64_t opened() const { return opened_; }
    [[nodiscard]] std::uint64_t reused() const { return reused_; }

private:
    friend class TargetConnection;

    void release(const std::shared_ptr<TargetConnection> &connection);

    asio::io_context &context_;
    const PlatformCodec &codec_;
    const Clock &clock_;
    std::unordered_map<std::string, std::vector<std::shared_ptr<TargetConnection>>> idle_;
    LoopMeter *meter_ = nullptr;
    WorkKind workKind_ = WorkKind::Targets;
    std::uint64_t opened_ = 0;
    std::uint64_t reused_ = 0;
};

} // namespace foxtailturn::gateway
