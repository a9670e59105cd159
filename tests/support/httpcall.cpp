#include "httpcall.h"

#include <utils/endpoint.h>

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace Hyssop::Testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::chrono::seconds CallTimeout{10};

/// Runs the asynchronous operations of one call; Beast's timeouts work with asynchronous operations only.
class Call
{
public:
    Call(const std::string &address, http::request<http::string_body> request)
        : m_stream(m_context)
        , m_request(std::move(request))
    {
        auto endpoint = capture([&] { return parseEndpoint(address); });
        if (valueOf(endpoint) == nullptr) {
            return;
        }
        m_stream.expires_after(CallTimeout);
        m_stream.async_connect(*valueOf(endpoint), [this](const boost::system::error_code &error) { write(error); });
    }

    HttpCallResult run()
    {
        m_context.run();
        return m_result;
    }

private:
    void write(const boost::system::error_code &error)
    {
        if (!error) {
            http::async_write(m_stream, m_request, [this](const boost::system::error_code &writeError, std::size_t) { read(writeError); });
        }
    }

    void read(const boost::system::error_code &error)
    {
        if (!error) {
            http::async_read(m_stream, m_buffer, m_response, [this](const boost::system::error_code &readError, std::size_t) { finish(readError); });
        }
    }

    void finish(const boost::system::error_code &error)
    {
        if (error) {
            return;
        }
        m_result.status = m_response.result_int();
        m_result.body = m_response.body();
        for (const auto &field : m_response) {
            m_result.headers[boost::algorithm::to_lower_copy(std::string(field.name_string()))] = std::string(field.value());
        }
    }

    asio::io_context m_context;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response;
    HttpCallResult m_result;
};

HttpCallResult httpCall(
    const std::string &address, const std::string &method, const std::string &path, const std::string &body, const std::map<std::string, std::string> &headers)
{
    http::request<http::string_body> request(http::string_to_verb(method), path, 11);
    request.set(http::field::host, address);
    for (const auto &[name, value] : headers) {
        request.set(name, value);
    }
    request.body() = body;
    request.prepare_payload();
    return Call(address, std::move(request)).run();
}

} // namespace Hyssop::Testing
