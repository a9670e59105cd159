#pragma once

#include "result.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace Hyssop {

/// Parses "IP-ADDRESS:PORT" without resolving host names.
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

/// Formats an endpoint as "IP-ADDRESS:PORT", with an IPv6 address in brackets.
std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace Hyssop
