#pragma once

// Interfaces to the platform's services. Implement them to support another protocol; no other code
// depends on the protocol.
//
//     Result<std::optional<Row>> row = table.read("config/current", deadline);
//     Result<RowVersion> version = table.write(key, value, kAbsent, deadline);
//     if (!version && version.error().code_ == ErrorCode::StoreConflict) ...
//
// All calls block until done or until the deadline. All implementations are thread-safe.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"

namespace foxtailturn {

// Version of a row; each write gives the row a new, larger one.
using RowVersion = std::uint64_t;

// Expected version of a row that must not exist yet.
constexpr RowVersion kAbsent = 0;

struct Row
{
    std::string key_;
    std::string value_;
    RowVersion version_ = kAbsent;

    bool operator==(const Row &) const = default;
};

// The transactional table service.
//
// Errors: StoreConflict (NotRun) when the expected version is not the current one;
// StoreUnavailable, with NotRun when the request is known to have had no effect and OutcomeUnknown
// when a write may have taken effect or may still do so. Callers then read the row back.
class TableService
{
public:
    virtual ~TableService() = default;

    // Returns the row, or nullopt when there is none. Thread-safe.
    [[nodiscard]] virtual Result<std::optional<Row>> read(const std::string &key,
                                                          TimePoint deadline) = 0;

    // Writes the row if its version is still expected (kAbsent: if there is no row). Returns the
    // new version. Thread-safe.
    [[nodiscard]] virtual Result<RowVersion> write(const std::string &key, const std::string &value,
                                                   RowVersion expected, TimePoint deadline) = 0;

    // Removes the row if its version is still expected. Thread-safe.
    [[nodiscard]] virtual Result<void> remove(const std::string &key, RowVersion expected,
                                              TimePoint deadline) = 0;

    // Returns all rows whose key begins with prefix, in key order. Thread-safe.
    [[nodiscard]] virtual Result<std::vector<Row>> scan(const std::string &prefix,
                                                        TimePoint deadline) = 0;
};

// The object store. Objects are immutable: a name is written once.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    // Returns the content, or nullopt when there is no such object. Error: StoreUnavailable.
    // Thread-safe.
    [[nodiscard]] virtual Result<std::optional<std::string>> get(const std::string &name,
                                                                 TimePoint deadline) = 0;

    // Stores the content; storing the same content again succeeds. Error: StoreUnavailable.
    // Thread-safe.
    [[nodiscard]] virtual Result<void> put(const std::string &name, const std::string &content,
                                           TimePoint deadline) = 0;
};

enum class VmState { Live, Leaving };

// An entry of the membership list.
struct Member
{
    std::string name_; // name from the process's settings
    std::string role_; // "entry" or "agent"
    std::string address_; // IP number and port of its gRPC service
    std::string dataCentre_;
    VmState state_ = VmState::Live;

    bool operator==(const Member &) const = default;
};

// The list of live and leaving VMs. It may lag behind their actual state.
class MembershipList
{
public:
    virtual ~MembershipList() = default;

    // Returns the list as the platform knows it now. Error: StoreUnavailable. Thread-safe.
    [[nodiscard]] virtual Result<std::vector<Member>> members(TimePoint deadline) = 0;
};

} // namespace foxtailturn
