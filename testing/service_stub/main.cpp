// Stand-in for a plain service; see stub_lib/service_stub.h for its interface and faults.
//
//     foxtailturn_service_stub --port=8600

#include <gflags/gflags.h>

#include "stub_lib/service_stub.h"

DEFINE_string(host, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 picks a free one");
DEFINE_int32(workers, foxtailturn::kStubWorkers, "connections served at once");

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    foxtailturn::ServiceStub service;
    return foxtailturn::serveUntilSignal(service.server(), FLAGS_host, FLAGS_port, FLAGS_workers);
}
