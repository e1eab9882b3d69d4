#pragma once

// The platform's services over HTTP, with the conditional requests of RFC 9110.
//
//     SystemClock clock;
//     HttpTable table("10.0.0.7", 8400, clock);
//     Result<RowVersion> version = table.write(key, value, kAbsent, clock.now() + kTimeout);
//
// Protocol: GET, PUT and DELETE /rows/{key} with the row version as strong ETag and If-Match or
// If-None-Match: *; GET /rows?prefix=P as a JSON list; GET and PUT /objects/{name}; GET /members
// and PUT /members/{name}. Keys and names are percent-encoded; row values are UTF-8 text.
//
// Failures: NotRun when no connection was made, when the deadline had passed before sending, when
// the answer carries `x-effect: none`, and for every failed read. Any other failed write is
// OutcomeUnknown. Nothing is sent twice.
//
// A call ends at most kConnectTimeout after its deadline.

#include <memory>

#include "base/clock.h"
#include "storage/platform.h"

namespace foxtailturn {

class HttpTransport;

// Connection timeout. The latency between VMs is milliseconds, so a longer wait means packet loss,
// and the call can fail early as NotRun because nothing was sent.
constexpr Duration kConnectTimeout = std::chrono::seconds(1);

// The table service over HTTP. Thread-safe.
class HttpTable final : public TableService
{
public:
    // host is an IP address. Precondition: clock outlives this object.
    HttpTable(const std::string &host, int port, const Clock &clock);
    ~HttpTable() override;
    HttpTable(const HttpTable &) = delete;
    HttpTable &operator=(const HttpTable &) = delete;

    Result<std::optional<Row>> read(const std::string &key, TimePoint deadline) override;
    Result<RowVersion> write(const std::string &key, const std::string &value, RowVersion expected,
                             TimePoint deadline) override;
    Result<void> remove(const std::string &key, RowVersion expected, TimePoint deadline) override;
    Result<std::vector<Row>> scan(const std::string &prefix, TimePoint deadline) override;

private:
    std::unique_ptr<HttpTransport> transport_;
};

// The object store over HTTP. Thread-safe.
class HttpObjects final : public ObjectStore
{
public:
    // host is an IP address. Precondition: clock outlives this object.
    HttpObjects(const std::string &host, int port, const Clock &clock);
    ~HttpObjects() override;
    HttpObjects(const HttpObjects &) = delete;
    HttpObjects &operator=(const HttpObjects &) = delete;

    Result<std::optional<std::string>> get(const std::string &name, TimePoint deadline) override;

    // Error StoreConflict (NotRun): the name is taken by other content.
    Result<void> put(const std::string &name, const std::string &content,
                     TimePoint deadline) override;

private:
    std::unique_ptr<HttpTransport> transport_;
};

// The membership list over HTTP. Thread-safe.
class HttpMembership final : public MembershipList
{
public:
    // host is an IP address. Precondition: clock outlives this object.
    HttpMembership(const std::string &host, int port, const Clock &clock);
    ~HttpMembership() override;
    HttpMembership(const HttpMembership &) = delete;
    HttpMembership &operator=(const HttpMembership &) = delete;

    Result<std::vector<Member>> members(TimePoint deadline) override;

    // Adds or replaces the entry named member.name_. Error: StoreUnavailable. Thread-safe.
    [[nodiscard]] Result<void> put(const Member &member, TimePoint deadline);

private:
    std::unique_ptr<HttpTransport> transport_;
};

} // namespace foxtailturn
