#pragma once

// Single HTTP calls with a time limit, for the store and for engines.
//
//     HttpCaller caller(context, codec, clock);
//     caller.call(address, codec.reportCall(), timeout, [](const HttpAnswer &answer) { ... });

#include <functional>
#include <string>

#include "gateway/codec.h"
#include "gateway/target_connection.h"

namespace foxtailturn::gateway {

// The answer to a call. status_ 0: no whole answer came in time; the call may have been carried out
// or may be carried out later.
struct HttpAnswer
{
    int status_ = 0;
    std::string body_;

    bool operator==(const HttpAnswer &) const = default;
};

// Not thread-safe. Handlers run from the loop.
class HttpCaller
{
public:
    using Handler = std::function<void(const HttpAnswer &answer)>;

    // All references must outlive the caller, which must outlive its calls.
    HttpCaller(asio::io_context &context, const PlatformCodec &codec, const Clock &clock);

    // Calls once. After a call without an answer in time all idle connections to the address are
    // closed, since they may have gone silent together.
    void call(const std::string &address, const HttpCall &call, Duration timeout, Handler handler);

private:
    class Call;

    asio::io_context &context_;
    const PlatformCodec &codec_;
    const Clock &clock_;
    ConnectionPool pool_;
};

} // namespace foxtailturn::gateway
