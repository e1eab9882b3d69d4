#pragma once

// HTTP server for the stand-ins: many worker threads, and connections that a handler can drop.
//
//     StubServer server;
//     server.Get("/health", handler);
//     const int port = server.start("127.0.0.1", 0, 256);
//     ...
//     server.finish();
//
// A worker serves one connection at a time, so workers bounds the connections that are served.

#include <string>
#include <thread>

#include <httplib.h>

namespace foxtailturn {

// Workers of a stand-in: hundreds of connections are served at once, as the platform would.
constexpr int kStubWorkers = 512;

class StubServer : public httplib::Server
{
public:
    StubServer() = default;
    ~StubServer() override;
    StubServer(const StubServer &) = delete;
    StubServer &operator=(const StubServer &) = delete;

    // Binds (port 0: any free port) and serves on a thread of its own. Returns the port, or -1 when
    // it can't be bound.
    int start(const std::string &host, int port, int workers = kStubWorkers);

    // Closes all connections and waits for the workers. May be called twice.
    void finish();

    // Closes the connection that the calling handler serves, so that its answer is never sent.
    static void dropConnection();

    // Returns whether the caller of the calling handler is still connected.
    static bool isConnected();

private:
    bool process_and_close_socket(socket_t sock) override; // NOLINT: name given by httplib

    std::thread thread_;
};

// Serves until SIGTERM or SIGINT. Prints "ready port=N" when it listens. Returns the process's exit
// code. Call from main before other threads start.
int serveUntilSignal(StubServer &server, const std::string &host, int port,
                     int workers = kStubWorkers);

// The address in a URL "http://HOST:PORT"; port 0 when the URL is not of this form.
struct HostPort
{
    std::string host_;
    int port_ = 0;

    bool operator==(const HostPort &) const = default;
};

[[nodiscard]] HostPort parseUrl(const std::string &url);

// Answers with JSON text.
void answerJson(httplib::Response &response, int status, const std::string &json);

} // namespace foxtailturn
