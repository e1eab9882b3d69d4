#pragma once

// The HTTP server that takes callers' requests.
//
//     EntryServer server(settings, clock, chain, forwarder, retryGuard, observer, configuration);
//     server.start();          // returns once connections are accepted
//     server.drain();          // refuses new requests
//     server.stop(deadline);   // waits for running requests, then closes all connections

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "config/configuration.h"
#include "entry/filter.h"
#include "entry/forwarder.h"

namespace foxtailturn {

struct EntryServerSettings
{
    std::string host_; // IP address
    int port_ = 0;
    std::size_t maxConnections_ = 600; // also the number of requests in progress, and of threads
    std::size_t maxBodyBytes_ = std::size_t{4} * 1024 * 1024;
    std::size_t memoryBytes_ = std::size_t{1024} * 1024 * 1024; // of the VM; see MemoryBounds

    bool operator==(const EntryServerSettings &) const = default;
};

// Request counters since the start, and the number of open requests.
struct EntryCounts
{
    std::uint64_t requests_ = 0;
    std::uint64_t refused_ = 0; // ended with an error as not_run
    std::uint64_t failed_ = 0; // ended with any other error, or within a stream
    std::uint64_t open_ = 0; // in progress now

    bool operator==(const EntryCounts &) const = default;
};

// Receives the result of each request, for metrics. Thread-safe.
class RequestObserver
{
public:
    virtual ~RequestObserver() = default;

    // Called when the first bytes of an answer are ready.
    virtual void onFirstByte(const RequestContext &context, Duration sinceArrival) = 0;

    // Called once at the end of the request; error is null after a complete answer.
    virtual void onEnd(const RequestContext &context, const Error *error,
                       Duration sinceArrival) = 0;
};

// Thread-safe.
class EntryServer
{
public:
    // All references must outlive the server. configuration returns the current configuration, or
    // null while there is none.
    EntryServer(EntryServerSettings settings, const Clock &clock, const FilterChain &chain,
                Forwarder &forwarder, RetryGuard &retryGuard, RequestObserver &observer,
                std::function<std::shared_ptr<const Configuration>()> configuration);
    ~EntryServer();

    // Begins to accept connections. Error: InvalidSettings when the address can't be used.
    [[nodiscard]] Result<void> start();

    // Refuses new requests as not_run; running ones continue. Thread-safe.
    void drain();

    // Waits until no request runs or until the deadline, then closes all connections. Thread-safe.
    void stop(TimePoint deadline);

    [[nodiscard]] EntryCounts counts() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace foxtailturn
