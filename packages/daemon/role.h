#pragma once

// The two roles of foxtailturnd.
//
//     std::unique_ptr<DaemonRole> role = makeRole(settings);
//     Result<void> started = role->start();
//     ...wait for a signal...
//     role->stop();

#include <memory>

#include "base/error.h"
#include "daemon/settings.h"

namespace foxtailturn {

class DaemonRole
{
public:
    virtual ~DaemonRole() = default;

    // Starts to serve. Error: InvalidSettings when an address can't be used.
    [[nodiscard]] virtual Result<void> start() = 0;

    // Graceful shutdown: not ready, no new work, running requests finish, shares and lease are
    // given up. Blocks until done or until the settings' stop timeout.
    virtual void stop() = 0;

    // Returns whether the process was fenced and must be started anew.
    [[nodiscard]] virtual bool isFenced() const = 0;
};

// Returns the role that the settings ask for.
[[nodiscard]] std::unique_ptr<DaemonRole> makeRole(const Settings &settings);

} // namespace foxtailturn
