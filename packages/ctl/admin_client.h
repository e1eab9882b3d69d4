#pragma once

// The admin HTTP of the processes, as operators use it.
//
//     HttpAdminClient admin("token", std::chrono::seconds(2));
//     Result<Json> state = admin.state("10.0.0.7:9100");

#include <set>
#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "base/json.h"

namespace foxtailturn {

// Addresses are "IP:port". Errors of all methods: ConnectionLost when the process can't be reached,
// Unauthenticated for a wrong token, InvalidSettings for an address that can't be used.
class AdminClient
{
public:
    virtual ~AdminClient() = default;

    // Returns the process's state.
    [[nodiscard]] virtual Result<Json> state(const std::string &address) = 0;

    // Orders the process to finish its work and take no more.
    [[nodiscard]] virtual Result<void> drain(const std::string &address) = 0;

    // Withdraws keys in the process's memory; it passes them on to its peers.
    [[nodiscard]] virtual Result<void> withdraw(const std::string &address,
                                                const std::set<std::string> &keyIds) = 0;
};

// Not thread-safe.
class HttpAdminClient final : public AdminClient
{
public:
    HttpAdminClient(std::string token, Duration timeout);

    Result<Json> state(const std::string &address) override;
    Result<void> drain(const std::string &address) override;
    Result<void> withdraw(const std::string &address, const std::set<std::string> &keyIds) override;

private:
    Result<std::string> send(const std::string &address, const std::string &method,
                             const std::string &path, const std::string &body);

    std::string token_;
    Duration timeout_;
};

} // namespace foxtailturn
