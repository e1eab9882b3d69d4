#pragma once

// Timeouts and error classification of HTTP calls to the target. Private to this package.

#include <algorithm>

#include <httplib.h>

#include "base/clock.h"

namespace foxtailturn {

// The target is on the same VM or close to it, so a connection that takes longer means that it is
// down.
constexpr Duration kTargetConnectTimeout = std::chrono::milliseconds(500);

// Sets the connect, read and write timeouts of the client to at most `remaining`. They apply to
// each operation, so a call may take longer in total.
inline void setTimeouts(httplib::Client &client, Duration remaining)
{
    const Duration timeout = std::max<Duration>(remaining, std::chrono::milliseconds(1));
    client.set_connection_timeout(std::min(timeout, kTargetConnectTimeout));
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
}

// Returns whether the call failed before any byte of the request was sent.
inline bool failedBeforeSending(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
}

} // namespace foxtailturn
