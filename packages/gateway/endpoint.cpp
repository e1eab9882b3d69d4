#include "gateway/endpoint.h"

#include <algorithm>
#include <charconv>

namespace foxtailturn::gateway {

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

} // namespace foxtailturn::gateway
