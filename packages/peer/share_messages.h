#pragma once

// Conversions between the limiter's messages and their wire form.
//
//     limiter.onTransfer(fromWire(message));

#include "foxtailturn.pb.h"
#include "limiter/messages.h"

namespace foxtailturn {

// All are thread-safe.
[[nodiscard]] wire::ShareRequest toWire(const ShareRequest &request);
[[nodiscard]] wire::ShareTransfer toWire(const ShareTransfer &transfer);
[[nodiscard]] wire::ShareAck toWire(const ShareAck &ack);
[[nodiscard]] wire::NetRequest toWire(const NetRequest &request);
[[nodiscard]] wire::NetReply toWire(const NetReport &report);

[[nodiscard]] ShareRequest fromWire(const wire::ShareRequest &message);
[[nodiscard]] ShareTransfer fromWire(const wire::ShareTransfer &message);
[[nodiscard]] ShareAck fromWire(const wire::ShareAck &message);
[[nodiscard]] NetRequest fromWire(const wire::NetRequest &message);
[[nodiscard]] NetReport fromWire(const wire::NetReply &message, const std::string &workspace);

} // namespace foxtailturn
