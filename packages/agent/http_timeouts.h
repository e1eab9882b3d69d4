#pragma once

// Timeouts and failures of HTTP calls to the target. Included by sources of this package only.

#include <algorithm>

#include <httplib.h>

#include "base/clock.h"

namespace foxtailturn {

// The target is on the same VM or next to it; a longer wait for a connection means that it is down.
constexpr Duration kTargetConnectTimeout = std::chrono::milliseconds(500);

// Sets the client's timeouts so that a call ends about when `remaining` has passed.
inline void setTimeouts(httplib::Client &client, Duration remaining)
{
    const Duration timeout = std::max<Duration>(remaining, std::chrono::milliseconds(1));
    client.set_connection_timeout(std::min(timeout, kTargetConnectTimeout));
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
}

// Returns whether the call surely sent nothing.
inline bool isNotSent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
}

} // namespace foxtailturn
