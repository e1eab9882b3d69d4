#pragma once

// Fetches a configuration from a peer, and counts calls to peers that have not ended.
//
//     std::optional<ConfigOffer> offer = fetchConfig(channel, 8, timeout);

#include <cstdint>
#include <memory>
#include <optional>

#include "config/config_follower.h"
#include "wire/channel.h"

namespace foxtailturn {

// Returns the peer's configuration if it is at least of the revision. Blocks until the answer or
// the timeout. Thread-safe.
[[nodiscard]] std::optional<ConfigOffer> fetchConfig(const std::shared_ptr<grpc::Channel> &channel,
                                                     std::uint64_t revision, Duration timeout);

// Returns the number of calls to peers whose answer has not been handled yet. A process waits for 0
// before it destroys what the answers go to. Thread-safe.
[[nodiscard]] int pendingPeerCallCount();

} // namespace foxtailturn
