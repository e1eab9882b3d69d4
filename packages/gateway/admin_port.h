#pragma once

// A small HTTP server for readiness, metrics and the state dump. It runs on the event loop.
//
//     AdminPort admin(context);
//     admin.serve("/state", [] { return AdminAnswer{200, "{}"}; });
//     admin.listen("10.0.0.5:8090");

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio.hpp>

#include "base/error.h"

namespace foxtailturn::gateway {

struct AdminAnswer
{
    int status_ = 200;
    std::string body_;
    std::string type_ = "text/plain; charset=utf-8";
};

// Not thread-safe.
class AdminPort
{
public:
    using Handler = std::function<AdminAnswer()>;

    // context must outlive the port.
    explicit AdminPort(asio::io_context &context);

    // Sets the handler for a path, whatever the method; paths without a handler get 404.
    void serve(const std::string &path, Handler handler);

    // Can be called several times, to listen on several addresses. Error: InvalidSettings when the
    // address can't be used.
    [[nodiscard]] Result<void> listen(const std::string &address);

private:
    class Connection;

    void accept(const std::shared_ptr<asio::ip::tcp::acceptor> &acceptor);

    void makeRoom();

    asio::io_context &context_;
    std::map<std::string, Handler, std::less<>> handlers_;
    std::vector<std::weak_ptr<Connection>> connections_;
    std::uint64_t uses_ = 0; // connections accepted and requests answered
};

} // namespace foxtailturn::gateway
