#pragma once

// Stand-in for the platform: table service, object store, membership and weight store in memory.
//
//     PlatformStub stub;
//     const int port = stub.server().start("127.0.0.1", 0);
//     POST /fault {"service": "rows", "down": true}
//
// Services are rows, objects, members and weights. POST /fault sets all faults of the named
// service, or of all services when none is named; absent fields clear a fault:
//   down           answer 503 with x-effect: none; nothing takes effect
//   slow_ms        wait before each request
//   lose_answers   writes take effect, then the connection is closed without an answer
//   drop_requests  writes have no effect and the connection is closed
// GET /stats gives requests per service and the largest number of weight loads in flight.

#include <array>
#include <map>
#include <mutex>

#include "storage/memory_platform.h"
#include "stub_lib/stub_server.h"
#include "stub_lib/weight_store.h"

namespace foxtailturn {

struct StubFaults
{
    bool down_ = false;
    int slowMs_ = 0;
    bool loseAnswers_ = false;
    bool dropRequests_ = false;

    bool operator==(const StubFaults &) const = default;
};

enum class StubService { Rows, Objects, Members, Weights };

constexpr std::size_t kStubServices = 4;

// Handlers of the platform's services. Thread-safe.
class PlatformStub
{
public:
    PlatformStub();

    StubServer &server() { return server_; }

    // Sets the faults of one service. Thread-safe.
    void setFaults(StubService service, const StubFaults &faults);

private:
    using Method = void (PlatformStub::*)(const httplib::Request &, httplib::Response &);

    httplib::Server::Handler guarded(StubService service, Method method);
    StubFaults beginRequest(StubService service);

    void getRow(const httplib::Request &request, httplib::Response &response);
    void putRow(const httplib::Request &request, httplib::Response &response);
    void deleteRow(const httplib::Request &request, httplib::Response &response);
    void listRows(const httplib::Request &request, httplib::Response &response);
    void getObject(const httplib::Request &request, httplib::Response &response);
    void putObject(const httplib::Request &request, httplib::Response &response);
    void listMembers(const httplib::Request &request, httplib::Response &response);
    void putMember(const httplib::Request &request, httplib::Response &response);
    void deleteMember(const httplib::Request &request, httplib::Response &response);
    void getWeights(const httplib::Request &request, httplib::Response &response);
    void postFault(const httplib::Request &request, httplib::Response &response);
    void getStats(const httplib::Request &request, httplib::Response &response);

    MemoryTable table_;
    MemoryObjects objects_;
    WeightStore weights_;
    std::mutex mutex_;
    std::map<std::string, std::string> members_; // JSON text by name
    std::array<StubFaults, kStubServices> faults_{};
    std::array<std::uint64_t, kStubServices> requests_{};
    StubServer server_; // last, so that its threads end before the state goes
};

} // namespace foxtailturn
