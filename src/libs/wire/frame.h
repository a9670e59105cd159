#pragma once

#include <utils/result.h>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <string>

namespace Hyssop::Internal {

/// Reads one frame: a 4-byte big-endian length, followed by a body of that length. Fails with ErrorCode::TooLarge above
/// MaximumWireMessageSize, before it reads the body, and with ErrorCode::Timeout when the timer of the stream
/// expires.
boost::asio::awaitable<Outcome<std::string>> readFrame(boost::beast::tcp_stream &stream);

/// Writes one frame and returns the number of bytes written, including the header.
boost::asio::awaitable<Outcome<std::size_t>> writeFrame(boost::beast::tcp_stream &stream, const std::string &body);

} // namespace Hyssop::Internal
