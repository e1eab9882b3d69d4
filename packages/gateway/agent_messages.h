#pragma once

// Messages between an entry and the process beside an engine (the sidecar), and between entries:
// JSON, one a line.
//
//     link.send(encode(LoadRequest{"m/a1", 3, "i-1", 8}));
//     AgentMessage message = decodeAgentMessage(line);
//
// A sidecar reports its engine's load to each entry that is connected, once in full and then what
// has changed, and takes requests to load adapters. An entry asks another one for a charge from a
// quota's pool. A line that can't be read is ignored by the receiver, so that versions can be
// mixed.

#include <optional>
#include <string>
#include <string_view>

#include "base/json.h"
#include "gateway/codec.h"

namespace foxtailturn::gateway {

// An entry wants an adapter, or a model, on the engine.
struct LoadRequest
{
    std::string name_; // MODEL/ADAPTER or MODEL
    std::int64_t version_ = 0; // least version; 0 for any
    std::string instance_; // the engine's incarnation that the entry knows
    int adapterSlots_ = 0; // of the engine

    bool operator==(const LoadRequest &) const = default;
};

// An entry begins or ends a request that uses an adapter.
struct UseNotice
{
    std::string name_;
    bool isBegin_ = true;

    bool operator==(const UseNotice &) const = default;
};

// The sidecar could not load an adapter: all slots are in use, or the engine did not obey.
struct LoadRefusal
{
    std::string name_;

    bool operator==(const LoadRefusal &) const = default;
};

// What has changed since a sidecar's last report.
class ReportUpdate
{
public:
    explicit ReportUpdate(Json fields)
        : fields_(std::move(fields))
    { }

    // Returns the report that follows the given one. Fields of another type change nothing.
    [[nodiscard]] SidecarReport appliedTo(SidecarReport before) const;

    bool operator==(const ReportUpdate &) const = default;

private:
    Json fields_; // those that have changed; null for a model or adapter that has gone
};

// An entry asks the keeper of a workspace's quota pool for a charge.
struct GrantRequest
{
    std::int64_t number_ = 0; // of the request, by the asking entry
    std::string workspace_;
    std::int64_t charge_ = 0; // tokens

    bool operator==(const GrantRequest &) const = default;
};

// The keeper's answer. A granted charge counts at the keeper, whether it is used or not.
struct GrantAnswer
{
    std::int64_t number_ = 0;
    bool isGranted_ = false;
    bool isKeeper_ = true; // false: the sender does not keep the pool any more
    Duration retryAfter_ = Duration::zero(); // of a refusal

    bool operator==(const GrantAnswer &) const = default;
};

// What a line holds; at most one member is set.
struct AgentMessage
{
    std::optional<LoadRequest> load_;
    std::optional<UseNotice> use_;
    std::optional<LoadRefusal> refusal_;
    std::optional<SidecarReport> report_;
    std::optional<ReportUpdate> update_;
    std::optional<GrantRequest> grantRequest_;
    std::optional<GrantAnswer> grantAnswer_;
};

// Each returns one line with its end. Thread-safe.
[[nodiscard]] std::string encode(const LoadRequest &request);
[[nodiscard]] std::string encode(const UseNotice &notice);
[[nodiscard]] std::string encode(const LoadRefusal &refusal);
[[nodiscard]] std::string encode(const SidecarReport &report);
[[nodiscard]] std::string encodeUpdate(const SidecarReport &before, const SidecarReport &after);
[[nodiscard]] std::string encode(const GrantRequest &request);
[[nodiscard]] std::string encode(const GrantAnswer &answer);

// Returns what a line holds; nothing is set for a line that is no message. Thread-safe.
[[nodiscard]] AgentMessage decodeAgentMessage(std::string_view line);

// Cuts whole lines from the front of a buffer. Thread-safe.
[[nodiscard]] std::vector<std::string> takeLines(std::string &buffer);

} // namespace foxtailturn::gateway
