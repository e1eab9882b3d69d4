#pragma once

// Switches a relay by HTTP.
//
//     RelayControl control(relay);
//     control.server().start("127.0.0.1", 0, 4);
//     POST /mode {"mode": "delay", "delay_ms": 50}
//
// Modes: pass, delay, cut, silent, silence_open; see tcp_relay.h. GET /stats gives the relay's port
// and its counts.

#include "stub_lib/stub_server.h"
#include "stub_lib/tcp_relay.h"

namespace foxtailturn {

// HTTP control of a relay. Thread-safe.
class RelayControl
{
public:
    // Precondition: relay outlives this object.
    explicit RelayControl(TcpRelay &relay);

    StubServer &server() { return server_; }

private:
    void postMode(const httplib::Request &request, httplib::Response &response);
    void getStats(const httplib::Request &request, httplib::Response &response);

    TcpRelay &relay_;
    StubServer server_;
};

} // namespace foxtailturn
