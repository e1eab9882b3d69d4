// foxtailturnd: one process of the serving layer. Its settings file makes it an entry or an agent.

#include <csignal>
#include <iostream>

#include <gflags/gflags.h>

#include "daemon/role.h"
#include "daemon/settings.h"
#include "memory/heap.h"

DEFINE_string(settings, "", "path of the settings file (JSON with comments)");
DEFINE_bool(check, false, "check the settings file and exit");

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitFenced = 3; // start the process again

// Blocks the stop signals in this and all later threads, so that waitForStop() receives them.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void waitForStop(const sigset_t &signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
}

int run(const foxtailturn::Settings &settings)
{
    const sigset_t signals = blockStopSignals();
    std::signal(SIGPIPE, SIG_IGN);
    foxtailturn::configureLogging(settings.logLayout_, settings.logLevel_);
    const foxtailturn::Logger log("daemon");
    const auto role = foxtailturn::makeRole(settings);
    const foxtailturn::Result<void> started = role->start();
    if (!started) {
        log.error(started.error().message_);
        return kExitFailed;
    }
    log.info(foxtailturn::concat("started, name=", settings.name_));
    waitForStop(signals);
    log.info("stopping");
    role->stop();
    log.info("stopped");
    return role->isFenced() ? kExitFenced : kExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    foxtailturn::memory::configureHeap();
    gflags::SetUsageMessage("foxtailturnd --settings=FILE [--check]");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty() || argc > 1) {
        std::cerr << "foxtailturnd: usage: foxtailturnd --settings=FILE [--check]\n";
        return kExitUsage;
    }
    const auto settings = foxtailturn::Settings::read(FLAGS_settings);
    if (!settings) {
        std::cerr << "foxtailturnd: " << settings.error().message_ << '\n';
        return kExitUsage;
    }
    return FLAGS_check ? kExitOk : run(*settings);
}
