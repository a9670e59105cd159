#pragma once

#include "clientsession.h"
#include "upstreampool.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/serializer.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Hyssop::Internal {

using ResponseParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
using RequestSerializer = boost::beast::http::serializer<true, boost::beast::http::buffer_body>;

/// State of a streamed request body, shared with the coroutine that sends it.
struct Upload
{
    explicit Upload(const boost::asio::any_io_executor &executor)
        : changed(executor)
    {
    }

    bool running = false;
    boost::system::error_code callerError; // reading the body from the caller failed
    boost::asio::steady_timer changed;
};

/// Forwards one request to a target and the response back to the caller.
class Exchange
{
public:
    Exchange(std::shared_ptr<ClientSession> session, ServiceStatePtr service, Route route);
    ~Exchange();

    boost::asio::awaitable<void> run();

private:
    /// Result of an attempt to send the request to a target.
    enum class AttemptResult {
        Delivered, // the response was forwarded
        Aborted, // a part of the response was forwarded; the caller's connection has to be closed
        ConnectFailed,
        ConnectionLost, // the connection to the target failed after it was established
        MalformedResponse, // the target's response is not valid HTTP
        TimedOut,
        CallerFailed, // the body could not be read from the caller
    };

    boost::asio::awaitable<bool> claimKey();
    boost::asio::awaitable<void> sendWithRetries();
    boost::asio::awaitable<AttemptResult> attempt(std::string address);
    boost::asio::awaitable<bool> connect(std::string address);
    boost::asio::awaitable<bool> sendRequest();
    boost::asio::awaitable<void> sendBody(std::shared_ptr<ClientSession> session, std::shared_ptr<Upload> upload, UpstreamConnectionPtr upstream);
    boost::asio::awaitable<void> stopUpload();
    boost::asio::awaitable<AttemptResult> receiveResponse();
    boost::asio::awaitable<AttemptResult> forwardBufferedResponse();
    boost::asio::awaitable<AttemptResult> forwardStreamedResponse();
    boost::asio::awaitable<void> respondToFailure(AttemptResult result);

    void prepareResponse(bool &keepAlive);
    bool prepareRetry(AttemptResult result, int attempt);
    RequestOutcome outcome() const;
    void captureBody(const char *data, std::size_t size);
    void recordOutcome(bool known);
    void finishAttempt(const std::string &address, AttemptResult result);
    AttemptResult failureResult() const;
    MetricLabels labels() const;

    GatewayStatePtr m_state;
    std::shared_ptr<ClientSession> m_session;
    ServiceStatePtr m_service;
    Route m_route;
    std::string m_idempotencyKey;
    bool m_idempotent = false;
    bool m_bodyBuffered = false; // the body is in memory, so the request can be sent again
    bool m_keyClaimed = false;
    bool m_holdsSlot = true; // of the service's concurrency limit
    TimePoint m_deadline;
    AttemptProgress m_progress; // of the current attempt
    bool m_mayHaveRun = false; // bytes were written in an earlier attempt
    UpstreamConnectionPtr m_upstream;
    std::optional<RequestSerializer> m_serializer;
    std::optional<ResponseParser> m_parser;
    std::shared_ptr<Upload> m_upload;
    std::set<std::string> m_failedTargets;
    std::optional<TimePoint> m_responseStartedAt;
    bool m_targetKeepsAlive = false;
    bool m_targetOverloaded = false;
    unsigned m_status = 0;
    std::string m_contentType;
    std::string m_capturedBody;
    bool m_captureTruncated = false;
    Watchdog m_watchdog;
};

} // namespace Hyssop::Internal
