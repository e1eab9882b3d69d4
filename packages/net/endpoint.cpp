#include "net/endpoint.h"

#include <algorithm>
#include <charconv>

namespace foxtailturn {

Result<asio::ip::tcp::endpoint> endpointOf(const std::string &address)
{
    const std::size_t colon = std::min(address.rfind(':'), address.size());
    asio::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    const std::string_view text =
        std::string_view(address).substr(std::min(colon + 1, address.size()));
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (error || failure != std::errc() || end != text.data() + text.size() || port == 0)
        return notRun(
            ErrorCode::InvalidSettings,
            "invalid address, expected IP:port with an IP literal and a port from 1 to 65535: "
                + address);
    return asio::ip::tcp::endpoint(ip, port);
}

Result<void> listenOn(asio::ip::tcp::acceptor &acceptor, const std::string &address)
{
    const Result<asio::ip::tcp::endpoint> endpoint = endpointOf(address);
    if (!endpoint)
        return tl::unexpected(endpoint.error());
    asio::error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return notRun(ErrorCode::InvalidSettings,
                      "cannot listen on " + address + ": " + error.message());
    return {};
}

} // namespace foxtailturn
