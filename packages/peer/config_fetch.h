#pragma once

// Fetches a configuration from a peer, and reports the number of pending calls to peers.
//
//     std::optional<ConfigOffer> offer = fetchConfig(channel, 8, timeout);

#include <cstdint>
#include <memory>
#include <optional>

#include "config/config_follower.h"
#include "wire/channel.h"

namespace foxtailturn {

// Returns the peer's configuration if its revision is at least `revision`, nullopt otherwise or on
// failure. Blocks until the reply or the timeout. Thread-safe.
[[nodiscard]] std::optional<ConfigOffer> fetchConfig(const std::shared_ptr<grpc::Channel> &channel,
                                                     std::uint64_t revision, Duration timeout);

// Returns the number of asynchronous calls to peers whose callback has not completed yet. A process
// must wait for 0 before it destroys objects that the callbacks use. Thread-safe.
[[nodiscard]] int pendingPeerCallCount();

} // namespace foxtailturn
