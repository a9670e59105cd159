#pragma once

#include <http/httpserver.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace Hyssop::Testing {

/// Target whose behavior depends on the request path: /echo, /delay/MS, /huge/BYTES, /chunked/BYTES, /truncate/BYTES
/// (sends less than Content-Length), /truncate-chunked, /close (no response), /reset, /blackhole, /close-after (responds
/// and closes without "Connection: close"), /close-announced, /garbage, /early (responds before the body), /unsized (the
/// end of the connection ends the body), /extra (a second, unsolicited response), /drip/COUNT (a chunk every 10 ms).
/// Counts the executed requests by their X-Id header.
class FakeTarget
{
public:
    explicit FakeTarget(boost::asio::any_io_executor executor);
    ~FakeTarget();

    void start();

    /// Closes the listener and every connection.
    void stop();

    std::string address() const;

    int executions(const std::string &id) const;
    int totalExecutions() const;
    int connections() const;
    std::string lastHeader() const;

    /// Status of the responses to GET /healthz; 0 closes the connection.
    int healthStatus = 200;

private:
    struct State;
    static boost::asio::awaitable<void> accept(std::shared_ptr<State> state, FakeTarget *target);
    static boost::asio::awaitable<void> serve(std::shared_ptr<State> state, FakeTarget *target, std::shared_ptr<boost::asio::ip::tcp::socket> socket);
    static boost::asio::awaitable<bool> respond(std::shared_ptr<State> state, std::shared_ptr<boost::asio::ip::tcp::socket> socket, HttpRequest request);

    std::shared_ptr<State> m_state;
};

/// Body that depends on its size only, so that missing or wrong parts are detected.
std::string patternBody(std::size_t size);

} // namespace Hyssop::Testing
