#pragma once

// The admin HTTP server of each process, on an address of its own.
//
//     AdminServer admin(endpoint, token, clock, handlers);
//     admin.start();
//
// GET /healthz and /readyz need no token; GET /metrics, GET /state, POST /drain and POST /withdraw
// need it in the header x-admin-token.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "daemon/settings.h"

namespace foxtailturn {

// What the server asks the process for. All functions are thread-safe and don't wait.
struct AdminHandlers
{
    std::function<bool()> isReady_;
    std::function<std::string()> metrics_; // Prometheus text
    std::function<std::string()> state_; // JSON, without keys and bodies
    std::function<void()> drain_;
    std::function<void(const std::vector<std::string> &keyIds)> withdraw_;
};

// Thread-safe.
class AdminServer
{
public:
    // The clock must outlive the server.
    AdminServer(Endpoint listen, std::string token, const Clock &clock, AdminHandlers handlers);
    ~AdminServer();

    // Begins to accept connections. Error: InvalidSettings when the address can't be used.
    [[nodiscard]] Result<void> start();

    // Closes all connections. Thread-safe.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace foxtailturn
