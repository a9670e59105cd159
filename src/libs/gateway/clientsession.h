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

/// One connection of a caller. Requests are served one after the other in the order of their arrival.
class ClientSession : public std::enable_shared_from_this<ClientSession>
{
public:
    ClientSession(GatewayStatePtr state, boost::asio::ip::tcp::socket socket);
    ~ClientSession();

    /// Serves requests until the connection ends.
    boost::asio::awaitable<void> run();

    /// Closes the connection if no request has begun on it.
    void closeIfIdle();
    void close();

private:
    friend class Exchange;

    boost::asio::awaitable<bool> readHeader();
    boost::asio::awaitable<void> serveRequest();
    boost::asio::awaitable<void> serveRoute(Route route);
    boost::asio::awaitable<void> forward(ServiceStatePtr service, Route route);

    /// Reads the whole body into m_body. Returns false after an error, which has been answered.
    boost::asio::awaitable<bool> readWholeBody(std::uint64_t limit);
    boost::asio::awaitable<bool> continueBody();
    boost::asio::awaitable<void> answerBodyFault(boost::system::error_code error, RequestOutcome outcome);

    boost::asio::awaitable<void> answer(boost::beast::http::status status, RequestOutcome outcome, std::string message);
    boost::asio::awaitable<void> answerReplay(RecordedOutcome outcome);
    boost::asio::awaitable<void> writeAnswer(boost::beast::http::response<boost::beast::http::string_body> response);

    /// Discards what is left of a small body so that the connection can be used again.
    boost::asio::awaitable<void> discardBody();
    boost::asio::awaitable<void> lingerAndClose();

    bool keepsAlive() const;
    void cancelTransfers();
    void armStall(Watchdog &watchdog);
    void countAnswer(unsigned status);

    GatewayStatePtr m_state;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<RequestParser> m_parser;
    std::string m_callerAddress;
    std::string m_requestId;
    std::string m_body; // of a request that is read completely before it is sent
    std::string m_customerLabel;
    std::string m_serviceLabel;
    TimePoint m_startedAt; // arrival of the first byte of the request
    bool m_isHead = false;
    bool m_expectsContinue = false;
    bool m_requestKeepsAlive = false;
    unsigned m_version = 11;
    bool m_bodyComplete = true; // nothing of the request is left to read
    bool m_closing = false;
    bool m_idle = true;
    Watchdog m_readWatchdog;
    Watchdog m_writeWatchdog;
};

} // namespace Hyssop::Internal
