#include "daemon/node_main.h"

#include <csignal>
#include <iostream>
#include <optional>

#include "gateway/entry_node.h"
#include "sidecar/sidecar_node.h"

namespace foxtailturn::gateway {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;

// Catches the signals from its construction on, and handles them once it is started: calls onStop
// at SIGTERM or SIGINT and onReload at each SIGHUP.
class SignalWatch
{
public:
    explicit SignalWatch(asio::io_context &context)
        : signals_(context, SIGTERM, SIGINT, SIGHUP)
    { }

    void start(std::function<void()> onStop, std::function<void()> onReload)
    {
        onStop_ = std::move(onStop);
        onReload_ = std::move(onReload);
        wait();
    }

private:
    void wait()
    {
        signals_.async_wait([this](const asio::error_code &why, int signal) {
            if (why)
                return;
            if (signal == SIGHUP)
                onReload_();
            else
                onStop_();
            wait();
        });
    }

    asio::signal_set signals_;
    std::function<void()> onStop_;
    std::function<void()> onReload_;
};

template <typename Node>
int serve(Node &node, asio::io_context &context, SignalWatch &signals,
          const std::function<void()> &onReload, const std::function<void()> &run)
{
    const Result<void> started = node.start();
    if (!started) {
        std::cerr << "foxtailturnd: " << started.error().message_ << '\n';
        return kExitUsage;
    }
    signals.start([&] { node.stop([&context] { context.stop(); }); }, onReload);
    run();
    return kExitOk;
}

} // namespace

int checkNodeSettings(const std::string &settingsPath)
{
    const Result<NodeSettings> settings = NodeSettings::read(settingsPath);
    if (settings)
        return kExitOk;
    std::cerr << "foxtailturnd: " << settings.error().message_ << '\n';
    return kExitUsage;
}

int runNode(const std::string &settingsPath, const PlatformCodec &codec)
{
    // First of all, as a signal that nobody has asked for ends the process.
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context context(1);
    SignalWatch signals(context);
    const Result<NodeSettings> settings = NodeSettings::read(settingsPath);
    if (!settings) {
        std::cerr << "foxtailturnd: " << settings.error().message_ << '\n';
        return kExitUsage;
    }
    if (settings->role_ == NodeRole::Sidecar) {
        SidecarNode sidecar(context, codec, *settings);
        return serve(
            sidecar, context, signals, [] {}, [&context] { context.run(); });
    }
    EntryNode entry(context, codec, *settings);
    const auto onReload = [&] {
        const Result<NodeSettings> changed = NodeSettings::read(settingsPath);
        if (changed)
            entry.reload(*changed);
        else
            std::cerr << "foxtailturnd: settings kept: " << changed.error().message_ << '\n';
    };
    return serve(entry, context, signals, onReload, [&entry] { entry.run(); });
}

} // namespace foxtailturn::gateway
