// Stand-in for a model engine; see stub_lib/engine_stub.h for its interface and faults.
//
//     foxtailturn_engine_stub --port=8500 --slots=4 --weights_url=http://127.0.0.1:8400

#include <iostream>

#include <gflags/gflags.h>

#include "stub_lib/engine_stub.h"

DEFINE_string(host, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 picks a free one");
DEFINE_int32(workers, foxtailturn::kStubWorkers, "connections served at once");
DEFINE_string(base_model, "base", "name of the base model");
DEFINE_int32(slots, 8, "adapters loaded at once");
DEFINE_int32(batch, 16, "requests running at once");
DEFINE_int32(first_token_ms, 20, "time to the first token, in ms");
DEFINE_int32(token_ms, 5, "time between tokens, in ms");
DEFINE_int32(tokens, 16, "tokens of an answer to a request without max_tokens");
DEFINE_int32(load_ms, 0, "time of a load without a weight store, in ms");
DEFINE_string(weights_url, "", "weight store, http://HOST:PORT; empty: none");
DEFINE_string(fencing, "check", "check: refuse old fencing numbers; ignore: obey every order");
DEFINE_string(crash_marker, "", "a prompt with this text ends the process; empty: none");

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const foxtailturn::HostPort weights = foxtailturn::parseUrl(FLAGS_weights_url);
    const bool isValid = (FLAGS_weights_url.empty() || weights.port_ > 0)
        && (FLAGS_fencing == "check" || FLAGS_fencing == "ignore");
    if (!isValid) {
        std::cerr << "invalid --weights_url or --fencing" << std::endl;
        return 2;
    }
    foxtailturn::EngineStub engine({.baseModel_ = FLAGS_base_model,
                                    .slots_ = FLAGS_slots,
                                    .batch_ = FLAGS_batch,
                                    .firstTokenMs_ = FLAGS_first_token_ms,
                                    .tokenMs_ = FLAGS_token_ms,
                                    .tokens_ = FLAGS_tokens,
                                    .loadMs_ = FLAGS_load_ms,
                                    .weightHost_ = weights.host_,
                                    .weightPort_ = weights.port_,
                                    .checkFencing_ = FLAGS_fencing == "check",
                                    .crashMarker_ = FLAGS_crash_marker});
    return foxtailturn::serveUntilSignal(engine.server(), FLAGS_host, FLAGS_port, FLAGS_workers);
}
