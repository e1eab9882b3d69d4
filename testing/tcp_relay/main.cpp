// TCP relay with injected network faults; see stub_lib/tcp_relay.h for its modes.
//
//     foxtailturn_relay --target=http://127.0.0.1:8500 --port=8501 --control_port=8502
//     curl -d '{"mode": "silent"}' http://127.0.0.1:8502/mode

#include <csignal>
#include <iostream>
#include <system_error>

#include <gflags/gflags.h>

#include "stub_lib/relay_control.h"

DEFINE_string(host, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 0, "port to relay; 0 picks a free one, see GET /stats");
DEFINE_int32(control_port, 0, "port of the HTTP control; 0 picks a free one");
DEFINE_string(target, "", "where to connect, http://HOST:PORT");

namespace {

constexpr int kControlWorkers = 4;

// The relay's thread must not take the signals that serveUntilSignal waits for.
void blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const foxtailturn::HostPort target = foxtailturn::parseUrl(FLAGS_target);
    if (target.port_ == 0) {
        std::cerr << "invalid --target" << std::endl;
        return 2;
    }
    blockSignals();
    try {
        foxtailturn::TcpRelay relay(FLAGS_host, FLAGS_port, target);
        foxtailturn::RelayControl control(relay);
        std::cout << "relay port=" << relay.port() << std::endl;
        return foxtailturn::serveUntilSignal(control.server(), FLAGS_host, FLAGS_control_port,
                                             kControlWorkers);
    } catch (const std::system_error &e) {
        std::cerr << "can't listen: " << e.what() << std::endl;
        return 1;
    }
}
