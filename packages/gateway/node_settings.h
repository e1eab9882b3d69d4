#pragma once

// Settings of an entry or sidecar process on an outside platform: JSON with comments. The platform
// renders the file from the template in platform/.
//
//     Result<NodeSettings> settings = NodeSettings::read("/etc/foxtailturn.json");

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/error.h"

namespace foxtailturn::gateway {

enum class NodeRole { Entry, Sidecar };

struct NodeSettings
{
    std::string name_; // of the VM
    NodeRole role_ = NodeRole::Entry;
    std::string ip_;
    std::string dataCentre_;
    std::string callerAddress_; // entries: listen address for callers
    std::string readyAddress_; // entries: serves readiness, metrics and state; empty for none
    int peerPort_ = 0; // sidecars and entries listen for entries on it; the same on every VM
    int metricsPort_ = 0; // serves readiness of sidecars, metrics and state; 0 for none
    std::string engineAddress_; // sidecars: the engine on the same VM
    std::string storeAddress_;
    Duration stopGrace_ = std::chrono::seconds(8); // from SIGTERM to SIGKILL
    // Time from the store's record that a target drains to the last request that may reach it.
    Duration drainNotice_ = std::chrono::milliseconds(2000);
    // Time from the store's record that a data centre is evacuated to the last request that may
    // reach one of its targets; zero: requests leave it at once.
    Duration evacuationNotice_{};
    // Time after a disturbance of the store or its connections within which the entry has to follow
    // the store again.
    Duration storeSilenceLimit_ = std::chrono::milliseconds(3000);
    std::int64_t quotaTolerance_ = 0; // tokens by which a workspace may exceed its quota
    std::int64_t milliCores_ = 1000; // processor share of the VM, in thousandths of a core
    std::int64_t memoryMb_ = 1024; // memory of the VM, in megabytes
    int maxDescriptors_ = 65'536; // descriptors that the process may have
    int retryPercent_ = 15; // attempts beyond the first per 100 requests of a service

    // Reads a settings file. Unknown fields are ignored, since a platform may add some. Error:
    // InvalidSettings, with the file and the field in its message.
    [[nodiscard]] static Result<NodeSettings> read(const std::string &path);

    // Parses the text of a file; source names it in errors.
    [[nodiscard]] static Result<NodeSettings> parse(std::string_view text,
                                                    const std::string &source);

    bool operator==(const NodeSettings &) const = default;
};

} // namespace foxtailturn::gateway
