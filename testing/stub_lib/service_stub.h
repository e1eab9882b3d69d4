#pragma once

// Stand-in for a plain service that counts executions.
//
//     ServiceStub service;
//     const int port = service.server().start("127.0.0.1", 0);
//
// POST /bookings, /deposits: execute once per request, whatever the Idempotency-Key: the caller
//   must not send twice. GET /registers/..., /stock/...: look-ups.
// POST /fault {slow_ms, drop_after, refuse}: sets all faults; absent ones are cleared
//   slow_ms: wait before each execution; drop_after: execute, then close the connection without an
//   answer; refuse: answer 503 without executing; answer_bytes: padding of the answers to look-ups
// GET /stats: executions by "path key" and by SHA-256 of the body, the largest of each, look-ups,
//   requests that carried a caller's credentials (must stay 0)

#include <map>
#include <mutex>
#include <string>

#include "stub_lib/stub_server.h"

namespace foxtailturn {

// Thread-safe.
class ServiceStub
{
public:
    ServiceStub();

    StubServer &server() { return server_; }

private:
    struct Faults
    {
        int slowMs_ = 0;
        bool dropAfter_ = false;
        bool refuse_ = false;
        std::size_t answerBytes_ = 0;
    };

    Faults faults();
    void execute(const httplib::Request &request, httplib::Response &response);
    void lookUp(const httplib::Request &request, httplib::Response &response);
    int count(const httplib::Request &request, const std::string &digest);
    void postFault(const httplib::Request &request, httplib::Response &response);
    void getStats(const httplib::Request &request, httplib::Response &response);

    std::mutex mutex_;
    Faults faults_;
    std::map<std::string, int> byKey_;
    std::map<std::string, int> byBody_;
    int executions_ = 0;
    int lookUps_ = 0;
    int credentials_ = 0;
    StubServer server_; // last, so that its threads end before the state goes
};

} // namespace foxtailturn
