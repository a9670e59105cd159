#include "endpoint.h"

#include "quantity.h"

#include <sstream>

namespace Hyssop {

Result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return fail(ErrorCode::InvalidArgument, "\"" + std::string(text) + "\" is not IP-ADDRESS:PORT");
    }
    std::string host(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(host, error);
    if (error) {
        return fail(ErrorCode::InvalidArgument, "\"" + host + "\" is not an IP address");
    }
    BOOST_LEAF_AUTO(port, parseInteger(text.substr(colon + 1)));
    constexpr std::int64_t MaximumPort = 65535;
    if (port < 0 || port > MaximumPort) {
        return fail(ErrorCode::InvalidArgument, "port " + std::to_string(port) + " is out of range; allowed: 0 to 65535");
    }
    return boost::asio::ip::tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &endpoint)
{
    std::ostringstream stream;
    stream << endpoint;
    return stream.str();
}

} // namespace Hyssop
