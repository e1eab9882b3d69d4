#pragma once

// Addresses as text, and listening on them.
//
//     if (const Result<asio::ip::tcp::endpoint> endpoint = endpointOf("10.0.0.7:8080"))
//         socket.connect(*endpoint);

#include <string>

#include <asio.hpp>

#include "base/error.h"

namespace foxtailturn {

// Returns the endpoint of IP:port text. Error: InvalidSettings. Thread-safe.
[[nodiscard]] Result<asio::ip::tcp::endpoint> endpointOf(const std::string &address);

// Opens, binds and listens. Error: InvalidSettings when the address can't be used. Not thread-safe.
[[nodiscard]] Result<void> listenOn(asio::ip::tcp::acceptor &acceptor, const std::string &address);

} // namespace foxtailturn
