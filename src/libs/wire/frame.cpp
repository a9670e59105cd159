#include "frame.h"

#include "codec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <array>

namespace Hyssop::Internal {

namespace asio = boost::asio;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t HeaderSize = 4;

static ErrorCode streamErrorCode(const boost::system::error_code &error)
{
    return error == boost::beast::error::timeout ? ErrorCode::Timeout : ErrorCode::Closed;
}

asio::awaitable<Outcome<std::string>> readFrame(boost::beast::tcp_stream &stream)
{
    std::array<unsigned char, HeaderSize> header{};
    const auto [headerError, headerSize] = co_await asio::async_read(stream, asio::buffer(header), AsTuple);
    if (headerError) {
        co_return Error{streamErrorCode(headerError), headerError.message()};
    }
    const std::size_t size = boost::endian::load_big_u32(header.data());
    if (size > MaximumWireMessageSize) {
        co_return Error{ErrorCode::TooLarge, "frame of " + std::to_string(size) + " bytes exceeds the size limit"};
    }
    std::string body(size, '\0');
    const auto [bodyError, bodySize] = co_await asio::async_read(stream, asio::buffer(body), AsTuple);
    if (bodyError) {
        co_return Error{streamErrorCode(bodyError), bodyError.message()};
    }
    co_return body;
}

asio::awaitable<Outcome<std::size_t>> writeFrame(boost::beast::tcp_stream &stream, const std::string &body)
{
    std::array<unsigned char, HeaderSize> header{};
    boost::endian::store_big_u32(header.data(), static_cast<std::uint32_t>(body.size()));
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(header), asio::buffer(body)};
    const auto [error, size] = co_await asio::async_write(stream, buffers, AsTuple);
    if (error) {
        co_return Error{streamErrorCode(error), error.message()};
    }
    co_return size;
}

} // namespace Hyssop::Internal
