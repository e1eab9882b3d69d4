// Puts bounded load on an entry or an engine stand-in and reports what the callers saw.
//
//     foxtailturn_load --url=http://127.0.0.1:8300 --keys=k1,k2 --models=brass=brass@3
//         --streams=200 --rate=50 --seconds=20 --json
//
// Exit code 1 when an answer belonged to another request, 2 for invalid flags.

#include <chrono>
#include <iostream>
#include <sstream>

#include <gflags/gflags.h>

#include "stub_lib/load_run.h"
#include "stub_lib/stub_server.h"

DEFINE_string(url, "", "http://HOST:PORT on loopback");
DEFINE_string(keys, "", "API keys, comma-separated, used by turns; empty: none");
DEFINE_string(models, "base",
              "comma-separated NAME or NAME=ADAPTER@VERSION (the adapter that must answer)");
DEFINE_double(skew, 0, "popularity of the n-th model is 1/n^skew");
DEFINE_int32(streams, 10, "requests at once, at most 900");
DEFINE_double(rate, 0, "requests a second (open loop); 0: closed loop");
DEFINE_double(seconds, 10, "no request starts later; at most 600");
DEFINE_int32(requests, 1'000'000, "no more requests start");
DEFINE_int32(max_tokens, 16, "max_tokens of each request");
DEFINE_int32(prompt_words, 20, "length of each prompt");
DEFINE_bool(stream, true, "ask for SSE");
DEFINE_bool(chat, true, "use /v1/chat/completions, else /v1/completions");
DEFINE_int32(timeout_ms, 30'000, "longest silence of an answer");
DEFINE_bool(json, false, "print one JSON object on one line");

namespace {

// httplib's client uses select(), which fails for descriptors over 1023.
constexpr int kMaxStreams = 900;
constexpr double kMaxSeconds = 600;

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');)
        parts.push_back(part);
    return parts;
}

std::vector<foxtailturn::LoadModel> parseModels(const std::string &text)
{
    std::vector<foxtailturn::LoadModel> models;
    for (const std::string &part : split(text)) {
        const std::size_t equals = part.find('=');
        const bool hasAdapter = equals != std::string::npos;
        models.push_back({part.substr(0, equals), hasAdapter ? part.substr(equals + 1) : part});
    }
    return models;
}

bool areFlagsValid(const foxtailturn::HostPort &target)
{
    return target.port_ > 0 && target.host_.rfind("127.", 0) == 0 && FLAGS_streams > 0
        && FLAGS_streams <= kMaxStreams && FLAGS_seconds > 0 && FLAGS_seconds <= kMaxSeconds
        && FLAGS_rate >= 0 && FLAGS_max_tokens > 0 && !FLAGS_models.empty();
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const foxtailturn::HostPort target = foxtailturn::parseUrl(FLAGS_url);
    if (!areFlagsValid(target)) {
        std::cerr << "invalid flags; --url must be on loopback, see --help" << std::endl;
        return 2;
    }
    const auto start = std::chrono::steady_clock::now();
    const foxtailturn::LoadReport report =
        foxtailturn::runLoad({.host_ = target.host_,
                              .port_ = target.port_,
                              .keys_ = split(FLAGS_keys),
                              .models_ = parseModels(FLAGS_models),
                              .skew_ = FLAGS_skew,
                              .streams_ = FLAGS_streams,
                              .rate_ = FLAGS_rate,
                              .seconds_ = FLAGS_seconds,
                              .requests_ = FLAGS_requests,
                              .maxTokens_ = FLAGS_max_tokens,
                              .promptWords_ = FLAGS_prompt_words,
                              .isStream_ = FLAGS_stream,
                              .isChat_ = FLAGS_chat,
                              .timeoutMs_ = FLAGS_timeout_ms});
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
    std::cout << report.toJson(taken.count()).dump(FLAGS_json ? -1 : 2) << std::endl;
    return report.wrongAnswers() == 0 ? 0 : 1;
}
