// Stand-in for the platform; see stub_lib/platform_stub.h for its faults.
//
//     foxtailturn_platform_stub --port=8400

#include <gflags/gflags.h>

#include "stub_lib/platform_stub.h"

DEFINE_string(host, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 picks a free one");
DEFINE_int32(workers, foxtailturn::kStubWorkers, "connections served at once");

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    foxtailturn::PlatformStub stub;
    return foxtailturn::serveUntilSignal(stub.server(), FLAGS_host, FLAGS_port, FLAGS_workers);
}
