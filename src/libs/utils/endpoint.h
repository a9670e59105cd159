#pragma once

#include "result.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace Hyssop {

/// Parses "IP-ADDRESS:PORT" without name resolution.
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

/// Formats an endpoint as "IP-ADDRESS:PORT"; IPv6 addresses in brackets.
std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace Hyssop
