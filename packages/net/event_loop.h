#pragma once

// Runs an event loop whose handlers go before deferred work.
//
//     DeferredWork work(clock);
//     LoopMeter meter(clock, metrics);
//     runLoop(context, work, meter);      // until context.stop()

#include <cstddef> // asio's allocation depends on a macro that each standard header defines

#include <asio/io_context.hpp>

#include "net/deferred_work.h"
#include "net/loop_meter.h"

namespace foxtailturn {

// Returns when the context is stopped or has no handlers left. Not thread-safe.
void runLoop(asio::io_context &context, DeferredWork &work, LoopMeter &meter);

} // namespace foxtailturn
