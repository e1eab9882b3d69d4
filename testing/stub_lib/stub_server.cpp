#include "stub_lib/stub_server.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <iostream>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtailturn {

namespace {

// httplib listens with a backlog of 5; more connections at once would wait for a resent SYN (1 s).
constexpr int kBacklog = 1024;

// How often an idle connection looks whether the server stops.
constexpr int kIdleCheckMs = 200;

constexpr int kReadTimeoutMs = 30'000;
constexpr int kWriteTimeoutMs = 30'000;

bool waitFor(int fd, short events, int timeoutMs)
{
    pollfd entry{fd, events, 0};
    return poll(&entry, 1, timeoutMs) > 0;
}

bool isOpen(socket_t fd)
{
    std::array<char, 1> byte{};
    const ssize_t peeked = recv(fd, byte.data(), byte.size(), MSG_PEEK | MSG_DONTWAIT);
    return peeked > 0 || (peeked < 0 && errno == EAGAIN);
}

// httplib's own stream uses select(), which fails for descriptors over 1023.
class SocketStream final : public httplib::Stream
{
public:
    explicit SocketStream(socket_t fd)
        : fd_(fd)
    { }

    bool is_readable() const override { return waitFor(fd_, POLLIN, kReadTimeoutMs); }
    bool is_writable() const override
    {
        return isOpen(fd_) && waitFor(fd_, POLLOUT, kWriteTimeoutMs);
    }

    ssize_t read(char *data, std::size_t size) override
    {
        if (position_ == end_ && !fill())
            return 0;
        const std::size_t count = std::min(size, end_ - position_);
        std::copy_n(buffer_.data() + position_, count, data);
        position_ += count;
        return static_cast<ssize_t>(count);
    }

    ssize_t write(const char *data, std::size_t size) override
    {
        std::size_t sent = 0;
        while (sent < size) {
            const ssize_t count = send(fd_, data + sent, size - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0)
                sent += static_cast<std::size_t>(count);
            else if (errno != EAGAIN || !waitFor(fd_, POLLOUT, kWriteTimeoutMs))
                return -1;
        }
        return static_cast<ssize_t>(size);
    }

    void get_remote_ip_and_port(std::string &ip, int &port) const override
    {
        describe(getpeername, ip, port);
    }
    void get_local_ip_and_port(std::string &ip, int &port) const override
    {
        describe(getsockname, ip, port);
    }
    socket_t socket() const override { return fd_; }

    bool hasBuffered() const { return position_ < end_; }

private:
    bool fill()
    {
        position_ = 0;
        end_ = 0;
        if (!is_readable())
            return false;
        const ssize_t count = recv(fd_, buffer_.data(), buffer_.size(), 0);
        if (count > 0)
            end_ = static_cast<std::size_t>(count);
        return count > 0;
    }

    template <typename Function>
    void describe(Function function, std::string &ip, int &port) const
    {
        sockaddr_in address{};
        socklen_t length = sizeof(address);
        function(fd_, reinterpret_cast<sockaddr *>(&address), &length);
        std::array<char, INET_ADDRSTRLEN> text{};
        inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
        ip = text.data();
        port = ntohs(address.sin_port);
    }

    socket_t fd_;
    std::array<char, 16384> buffer_{};
    std::size_t position_ = 0;
    std::size_t end_ = 0;
};

thread_local socket_t currentSocket = INVALID_SOCKET;

bool waitForRequest(const SocketStream &stream, const std::atomic<socket_t> &serverSocket)
{
    while (serverSocket != INVALID_SOCKET) {
        if (stream.hasBuffered() || waitFor(stream.socket(), POLLIN, kIdleCheckMs))
            return true;
    }
    return false;
}

} // namespace

StubServer::~StubServer()
{
    finish();
}

int StubServer::start(const std::string &host, int port, int workers)
{
    // httplib's default is SO_REUSEPORT, with which two processes could share one port unnoticed.
    set_socket_options([](socket_t fd) {
        const int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    new_task_queue = [workers] {
        return new httplib::ThreadPool(static_cast<std::size_t>(workers));
    };
    const int bound = port == 0 ? bind_to_any_port(host) : (bind_to_port(host, port) ? port : -1);
    if (bound < 0)
        return bound;
    ::listen(svr_sock_, kBacklog);
    thread_ = std::thread([this] { listen_after_bind(); });
    while (!is_running())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return bound;
}

void StubServer::finish()
{
    stop();
    if (thread_.joinable())
        thread_.join();
}

void StubServer::dropConnection()
{
    shutdown(currentSocket, SHUT_RDWR);
}

bool StubServer::isConnected()
{
    return isOpen(currentSocket);
}

bool StubServer::process_and_close_socket(socket_t sock)
{
    const int on = 1;
    setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    currentSocket = sock;
    SocketStream stream(sock);
    bool isClosed = false;
    bool isServed = true;
    while (isServed && !isClosed && waitForRequest(stream, svr_sock_))
        isServed = process_request(stream, false, isClosed, nullptr);
    currentSocket = INVALID_SOCKET;
    shutdown(sock, SHUT_RDWR);
    close(sock);
    return isServed;
}

int serveUntilSignal(StubServer &server, const std::string &host, int port, int workers)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const int bound = server.start(host, port, workers);
    if (bound < 0) {
        std::cerr << "can't listen on " << host << ":" << port << std::endl;
        return 1;
    }
    std::cout << "ready port=" << bound << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    server.finish();
    return 0;
}

HostPort parseUrl(const std::string &url)
{
    constexpr std::string_view kScheme = "http://";
    const std::size_t colon = url.rfind(':');
    if (url.rfind(kScheme, 0) != 0 || colon == std::string::npos || colon < kScheme.size())
        return {};
    const std::string host = url.substr(kScheme.size(), colon - kScheme.size());
    return {host, std::atoi(url.c_str() + colon + 1)};
}

void answerJson(httplib::Response &response, int status, const std::string &json)
{
    response.status = status;
    response.set_content(json, "application/json");
}

} // namespace foxtailturn
