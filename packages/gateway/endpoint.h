#pragma once

// Addresses as text.
//
//     if (const Result<asio::ip::tcp::endpoint> endpoint = endpointOf("10.0.0.7:8080"))
//         socket.connect(*endpoint);

#include <string>

#include <asio.hpp>

#include "base/error.h"

namespace foxtailturn::gateway {

// Returns the endpoint of IP:port text. Error: InvalidSettings. Thread-safe.
[[nodiscard]] Result<asio::ip::tcp::endpoint> endpointOf(const std::string &address);

} // namespace foxtailturn::gateway
