#pragma once

#include "attemptresult.h"
#include "clientsession.h"
#include "keyedrequest.h"
#include "requestsender.h"
#include "upstreampool.h"

#include <memory>
#include <optional>
#include <string>

namespace Hyssop::Internal {

/// Receives the response of a target in one attempt and forwards it to the caller.
class ResponseRelay
{
public:
    /// @p watchdog has the deadline of the request; it is disarmed when a complete response is at hand.
    ResponseRelay(std::shared_ptr<ClientSession> session, const RequestSender &sender, KeyedRequest &keyedRequest, Watchdog &watchdog);

    boost::asio::awaitable<AttemptResult> run(UpstreamConnectionPtr upstream);

    /// The response was received completely.
    bool isComplete() const { return m_parser && m_parser->is_done(); }
    /// The response header was accepted and can be forwarded to the caller.
    bool isAccepted() const { return m_accepted; }
    bool targetKeepsAlive() const { return m_targetKeepsAlive; }
    bool targetOverloaded() const { return m_targetOverloaded; }
    unsigned status() const { return m_status; }
    const std::string &contentType() const { return m_contentType; }
    /// Arrival of the response header.
    TimePoint startedAt() const { return m_startedAt; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<AttemptResult> forwardBuffered(UpstreamConnectionPtr upstream);
    boost::asio::awaitable<AttemptResult> forwardStreamed(UpstreamConnectionPtr upstream);
    void prepareResponse(bool &keepAlive);

    std::shared_ptr<ClientSession> m_session;
    const RequestSender &m_sender;
    KeyedRequest &m_keyedRequest;
    Watchdog &m_watchdog;
    std::optional<Parser> m_parser;
    TimePoint m_startedAt;
    bool m_accepted = false;
    bool m_targetKeepsAlive = false;
    bool m_targetOverloaded = false;
    unsigned m_status = 0;
    std::string m_contentType;
};

} // namespace Hyssop::Internal
