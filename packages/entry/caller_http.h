#pragma once

// The parts of the caller's HTTP that depend on httplib. Included by sources of this package only.
//
//     CallerHttpServer server;
//     server.configure(settings);
//     if (!server.bind("10.0.0.7", 8080)) ...

#include <string>

#include <httplib.h>

#include "base/error.h"
#include "entry/entry_server.h"
#include "entry/request_context.h"

namespace foxtailturn {

constexpr const char *kJsonContentType = "application/json";

// httplib's server with limits for hundreds of slow callers. httplib's own defaults are a listen
// backlog of 5, which drops bursts of connections, SO_REUSEPORT, with which two processes share a
// port unnoticed, and as many threads as cores, each of which serves one connection.
class CallerHttpServer final : public httplib::Server
{
public:
    // Sets thread count and limits. Precondition: before bind().
    void configure(const EntryServerSettings &settings);

    // Begins to listen; returns whether the address could be used.
    [[nodiscard]] bool bind(const std::string &host, int port);

    // Sets one handler for all paths and all methods that a route can have.
    void handleAll(const Handler &handler);
};

// Returns the request in the form of the filter chain, with a new id. Thread-safe.
[[nodiscard]] CallerRequest toCaller(const httplib::Request &request);

// Writes status, body and Retry-After of a failure. Thread-safe.
void writeError(const Error &error, const std::string &requestId, TimePoint now,
                httplib::Response &response);

// Gives a failure that httplib found itself the form of all others. Thread-safe.
void nameServerError(httplib::Response &response, TimePoint now);

} // namespace foxtailturn
