#pragma once

// Makes single HTTP calls with a timeout, to the store and to engines.
//
//     HttpCaller caller(context, codec, clock);
//     caller.call(address, codec.reportCall(), timeout, [](const HttpAnswer &answer) { ... });

#include <functional>
#include <string>

#include "gateway/codec.h"
#include "gateway/target_connection.h"

namespace foxtailturn::gateway {

// The answer to a call. status_ 0: no complete answer was received in time, or more than
// read_limits::kMaxAnswerBytes; the call may have been carried out or may be carried out later.
struct HttpAnswer
{
    int status_ = 0;
    std::string body_;
    bool isLeaving_ = false; // the target has said that it is about to stop
    std::int64_t storeEra_ = 0; // as in TargetReply

    bool operator==(const HttpAnswer &) const = default;
};

// Not thread-safe. Handlers run on the event loop.
class HttpCaller
{
public:
    using Handler = std::function<void(const HttpAnswer &answer)>;

    // All references must outlive the caller, which must outlive its calls.
    HttpCaller(asio::io_context &context, const PlatformCodec &codec, const Clock &clock);

    // See ConnectionPool.
    void setMeter(LoopMeter &meter, WorkKind kind) { pool_.setMeter(meter, kind); }

    // Calls once, without retries. After a timeout all idle connections to the address are closed,
    // since the same fault may have made them unresponsive.
    void call(const std::string &address, const HttpCall &call, Duration timeout, Handler handler);

private:
    class Call;

    asio::io_context &context_;
    const PlatformCodec &codec_;
    const Clock &clock_;
    ConnectionPool pool_;
};

} // namespace foxtailturn::gateway
