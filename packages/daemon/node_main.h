#pragma once

// Runs this process as a part of the serving layer on an outside platform: an entry or a sidecar on
// one event loop.
//
//     return runNode("/etc/foxtailturn.json", codec);

#include <string>

#include "gateway/codec.h"

namespace foxtailturn::gateway {

// Serves until SIGTERM and returns the exit code: 0 after a graceful shutdown, 2 for settings that
// can't be used. SIGHUP reads the settings file again. Must be called once, from the main thread.
[[nodiscard]] int runNode(const std::string &settingsPath, const PlatformCodec &codec);

// Checks a settings file; prints the problem and returns 2, or returns 0.
[[nodiscard]] int checkNodeSettings(const std::string &settingsPath);

} // namespace foxtailturn::gateway
