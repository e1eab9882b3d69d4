#pragma once

// The parts of the HTTP server that depend on httplib. Only for source files of this package.
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

// httplib's server, configured for hundreds of slow callers. httplib's defaults are unsuitable: a
// listen backlog of 5 drops bursts of connections, SO_REUSEPORT lets two processes share a port
// unnoticed, and there are only as many threads as cores, each of which serves one connection.
class CallerHttpServer final : public httplib::Server
{
public:
    // Sets thread count and limits. Precondition: before bind().
    void configure(const EntryServerSettings &settings);

    // Binds the address and listens on it; returns whether both succeeded.
    [[nodiscard]] bool bind(const std::string &host, int port);

    // Registers the handler for all paths and all methods that a route can have.
    void handleAll(const Handler &handler);
};

// Converts the request for the filter chain and assigns a new id to it. Thread-safe.
[[nodiscard]] CallerRequest toCallerRequest(const httplib::Request &request);

// Writes the status, body and Retry-After header of an error response. Thread-safe.
void writeError(const Error &error, const std::string &requestId, TimePoint now,
                httplib::Response &response);

// Rewrites an error response of httplib itself, which has no body, to the JSON format of all other
// errors. Thread-safe.
void rewriteServerError(httplib::Response &response, TimePoint now);

} // namespace foxtailturn
