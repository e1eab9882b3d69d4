#pragma once

// Messages between an entry and an engine's sidecar, and between entries: one JSON object per line.
//
//     link.send(encode(LoadRequest{"m/a1", 3, "i-1", 8}));
//     AgentMessage message = decodeAgentMessage(line);
//
// A sidecar reports its engine's load to each connected entry, first in full and then as updates,
// and accepts requests to load adapters. It passes records of suspect requests on from each entry
// to the others. An entry requests a charge from an entry that owns a part of the workspace's
// quota. The receiver ignores a line that it can't decode, so that processes of different versions
// can run together.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/codec.h"
#include "gateway/report_update.h"
#include "retry/suspect_record.h"

namespace foxtailturn::gateway {

// An entry requests that the engine loads an adapter or a model.
struct LoadRequest
{
    std::string name_; // MODEL/ADAPTER or MODEL
    std::int64_t version_ = 0; // minimum version; 0 for any
    std::string instance_; // the engine's incarnation as the entry knows it
    int adapterSlots_ = 0; // the engine's number of adapter slots

    bool operator==(const LoadRequest &) const = default;
};

// A request of an entry that uses an adapter begins or ends.
struct UseNotice
{
    std::string name_;
    bool isBegin_ = true;

    bool operator==(const UseNotice &) const = default;
};

// The sidecar could not load an adapter in time: all slots are in use, or the engine did not carry
// out the order.
struct LoadRefusal
{
    std::string name_;

    bool operator==(const LoadRefusal &) const = default;
};

// An entry requests a charge from an owner of parts of a workspace's quota.
struct GrantRequest
{
    std::int64_t number_ = 0; // request number, chosen by the requesting entry
    std::string workspace_;
    std::int64_t charge_ = 0; // tokens

    bool operator==(const GrantRequest &) const = default;
};

// The owner's answer. The owner counts a granted charge, whether it is used or not.
struct GrantAnswer
{
    std::int64_t number_ = 0;
    bool isGranted_ = false;
    bool isOwner_ = true; // false: the sender owns no part of the quota any more
    Duration retryAfter_ = Duration::zero(); // of a refused request

    bool operator==(const GrantAnswer &) const = default;
};

// Records of suspect requests that are new or have changed, to be merged by the receiver.
struct SuspectNotice
{
    std::vector<SuspectRecord> records_;

    bool operator==(const SuspectNotice &) const = default;
};

// The digests of the suspect records that a sidecar holds, for an entry that has connected. It is
// the first message of a connection; sidecars of earlier versions send all records instead.
struct SuspectOffer
{
    std::vector<std::uint64_t> digests_;

    bool operator==(const SuspectOffer &) const = default;
};

// The digests of records that an entry lacks. Its first message of a connection is one without
// digests, which entries of earlier versions don't send.
struct SuspectRequest
{
    std::vector<std::uint64_t> digests_;

    bool operator==(const SuspectRequest &) const = default;
};

// A decoded line; at most one member is set.
struct AgentMessage
{
    std::optional<LoadRequest> load_;
    std::optional<UseNotice> use_;
    std::optional<LoadRefusal> refusal_;
    std::optional<SidecarReport> report_;
    std::optional<ReportUpdate> update_;
    std::optional<GrantRequest> grantRequest_;
    std::optional<GrantAnswer> grantAnswer_;
    std::optional<SuspectNotice> suspects_;
    std::optional<SuspectOffer> suspectOffer_;
    std::optional<SuspectRequest> suspectRequest_;
};

// Each returns one line, including its line feed; a long message about suspects is split into
// several. Thread-safe.
[[nodiscard]] std::string encode(const LoadRequest &request);
[[nodiscard]] std::string encode(const UseNotice &notice);
[[nodiscard]] std::string encode(const LoadRefusal &refusal);
[[nodiscard]] std::string encode(const SidecarReport &report);
[[nodiscard]] std::string encodeUpdate(const SidecarReport &before, const SidecarReport &after);
[[nodiscard]] std::string encode(const GrantRequest &request);
[[nodiscard]] std::string encode(const GrantAnswer &answer);
[[nodiscard]] std::string encode(const SuspectNotice &notice); // no line without records
[[nodiscard]] std::string encode(const SuspectOffer &offer);
[[nodiscard]] std::string encode(const SuspectRequest &request);

// Decodes a line; no member is set for a line that is not a known message. Thread-safe.
[[nodiscard]] AgentMessage decodeAgentMessage(std::string_view line);

// Removes the complete lines from the front of a buffer and returns them without line feeds.
// Thread-safe.
[[nodiscard]] std::vector<std::string> extractLines(std::string &buffer);

} // namespace foxtailturn::gateway
