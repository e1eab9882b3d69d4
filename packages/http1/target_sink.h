#pragma once

// Receives the answer of a call by HttpExchange.
//
//     class Recorder : public TargetSink { ... };
//     exchange.run(head, body, deadline, recorder);

#include <string>
#include <string_view>

namespace foxtailturn {

// Called on the thread that made the call.
class TargetSink
{
public:
    virtual ~TargetSink() = default;

    // Return false to abort the call.
    virtual bool onHead(int status, const std::string &contentType) = 0;
    virtual bool onData(std::string_view data) = 0;

    // Returns whether the answer, whose head has come, may end by a close of the target, with
    // neither a length nor chunks. Such an answer may be cut anywhere, so a sink that accepts it
    // tells from the data itself whether it is whole, or passes nothing of it on.
    [[nodiscard]] virtual bool acceptsUnstatedEnd() const { return false; }
};

} // namespace foxtailturn
