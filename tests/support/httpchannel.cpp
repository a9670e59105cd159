#include "httpchannel.h"

#include <utils/endpoint.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Hyssop::Testing {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::chrono::seconds CallTimeout{10};

HttpChannel::HttpChannel(const std::string &address)
{
    auto endpoint = capture([&] { return parseEndpoint(address); });
    beast::error_code ignored;
    m_stream.socket().connect(*valueOf(endpoint), ignored);
}

ChannelCallResult HttpChannel::call(const std::string &method, const std::string &path, const std::string &host, const std::string &body)
{
    http::request<http::string_body> request(http::string_to_verb(method), path, 11);
    request.set(http::field::host, host);
    request.body() = body;
    request.prepare_payload();
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    ChannelCallResult result;
    auto sentAt = std::chrono::steady_clock::now();
    m_stream.expires_after(CallTimeout);
    http::async_write(m_stream, request, [&](const beast::error_code &writeError, std::size_t) {
        sentAt = std::chrono::steady_clock::now();
        if (writeError) {
            return;
        }
        http::async_read(m_stream, buffer, response, [&](const beast::error_code &readError, std::size_t) {
            result.status = readError ? 0 : static_cast<int>(response.result_int());
            result.time = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - sentAt);
        });
    });
    m_context.restart();
    m_context.run();
    return result;
}

} // namespace Hyssop::Testing
