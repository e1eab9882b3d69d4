#pragma once

// Runs an event loop whose handlers go before deferred work.
//
//     DeferredWork work(clock);
//     runLoop(context, work);      // until context.stop()

#include <asio/io_context.hpp>

#include "gateway/deferred_work.h"

namespace foxtailturn::gateway {

// Returns when the context is stopped or has no handlers left. Not thread-safe.
void runLoop(asio::io_context &context, DeferredWork &work);

} // namespace foxtailturn::gateway
