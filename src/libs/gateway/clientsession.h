#pragma once

#include "gatewaystate.h"
#include "headers.h"
#include "watchdog.h"

#include <routing/requestoutcome.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace Hyssop::Internal {

using RequestParser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

/// Connection of a caller. Requests are served one at a time, in the order in which they arrive.
class ClientSession : public std::enable_shared_from_this<ClientSession>
{
public:
    ClientSession(GatewayStatePtr state, boost::asio::ip::tcp::socket socket);
    ~ClientSession();

    /// Serves requests until the connection ends.
    boost::asio::awaitable<void> run();

    /// Closes the connection unless a request is in progress or has begun to arrive.
    void closeIfIdle();
    void close();

private:
    friend class Exchange;
    friend class KeyedRequest;
    friend class RequestSender;
    friend class ResponseRelay;

    boost::asio::awaitable<bool> readHeader();
    boost::asio::awaitable<void> serveRequest();
    boost::asio::awaitable<void> serveRoute(Route route);
    boost::asio::awaitable<void> forward(ServiceStatePtr service, Route route);

    /// Reads the whole body into m_body. After an error, sends the error response and returns false.
    boost::asio::awaitable<bool> readWholeBody(std::uint64_t limit);
    boost::asio::awaitable<bool> sendContinue();
    boost::asio::awaitable<void> respondToBodyError(boost::system::error_code error, RequestOutcome outcome);

    boost::asio::awaitable<void> respond(boost::beast::http::status status, RequestOutcome outcome, std::string message);
    boost::asio::awaitable<void> replayResponse(RecordedOutcome outcome);
    boost::asio::awaitable<void> writeResponse(boost::beast::http::response<boost::beast::http::string_body> response);

    /// Discards the rest of a small body, so that the connection can be reused.
    boost::asio::awaitable<void> discardBody();
    boost::asio::awaitable<void> lingerAndClose();

    bool keepsAlive() const;
    void cancelTransfers();
    void armStallTimeout(Watchdog &watchdog);
    void countResponse(unsigned status);

    GatewayStatePtr m_state;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<RequestParser> m_parser;
    std::string m_callerAddress;
    std::string m_requestId;
    std::string m_body; // if it is read completely before the request is sent
    std::string m_customerLabel;
    std::string m_serviceLabel;
    TimePoint m_startedAt; // arrival of the first byte of the request
    bool m_isHead = false;
    bool m_expectsContinue = false;
    bool m_requestKeepsAlive = false;
    unsigned m_version = 11;
    bool m_bodyComplete = true; // the request has been read completely
    bool m_closing = false;
    bool m_idle = true;
    Watchdog m_readWatchdog;
    Watchdog m_writeWatchdog;
};

} // namespace Hyssop::Internal
