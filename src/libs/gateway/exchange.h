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

/// Progress of the body of a streamed request; shared with the coroutine that sends it.
struct Upload
{
    explicit Upload(const boost::asio::any_io_executor &executor)
        : changed(executor)
    {
    }

    bool running = false;
    boost::system::error_code callerError; // the caller's side failed
    boost::asio::steady_timer changed;
};

/// Takes one request to a target and the answer back to the caller.
class Exchange
{
public:
    Exchange(std::shared_ptr<ClientSession> session, ServiceStatePtr service, Route route);
    ~Exchange();

    boost::asio::awaitable<void> run();

private:
    /// How an attempt ended, apart from its RequestOutcome.
    enum class End {
        Delivered, // the answer was passed on
        Aborted, // a part of the answer was passed on; the caller's connection has to be closed
        ConnectFailed,
        Lost, // the connection to the target failed
        BadAnswer, // the target's answer is not HTTP
        TimedOut,
        CallerFailed, // the caller's body failed
    };

    boost::asio::awaitable<bool> claimKey();
    boost::asio::awaitable<void> sendWithRetries();
    boost::asio::awaitable<End> attempt(std::string address);
    boost::asio::awaitable<bool> connect(std::string address);
    boost::asio::awaitable<bool> sendRequest();
    boost::asio::awaitable<void> sendBody(std::shared_ptr<ClientSession> session, std::shared_ptr<Upload> upload, UpstreamConnectionPtr upstream);
    boost::asio::awaitable<void> stopUpload();
    boost::asio::awaitable<End> receiveAnswer();
    boost::asio::awaitable<End> passOnSmallAnswer();
    boost::asio::awaitable<End> passOnAnswer();
    boost::asio::awaitable<void> answerFailure(End end);

    void prepareAnswer(bool &keepAlive);
    bool prepareRetry(End end, int attempt);
    RequestOutcome outcome() const;
    void captureBody(const char *data, std::size_t size);
    void recordOutcome(bool known);
    void finishAttempt(const std::string &address, End end);
    End endOfFailure() const;
    MetricLabels labels() const;

    GatewayStatePtr m_state;
    std::shared_ptr<ClientSession> m_session;
    ServiceStatePtr m_service;
    Route m_route;
    std::string m_idempotencyKey;
    bool m_idempotent = false;
    bool m_wholeBody = false; // the body is in memory, the request can be written again
    bool m_keyClaimed = false;
    bool m_hasPlace = true; // in the concurrency limit
    TimePoint m_deadline;
    AttemptProgress m_progress; // of the current attempt
    bool m_mayHaveRun = false; // bytes were written in an earlier attempt
    UpstreamConnectionPtr m_upstream;
    std::optional<RequestSerializer> m_serializer;
    std::optional<ResponseParser> m_parser;
    std::shared_ptr<Upload> m_upload;
    std::set<std::string> m_failedTargets;
    std::optional<TimePoint> m_answeredAt;
    bool m_targetKeepsAlive = false;
    bool m_targetOverloaded = false;
    unsigned m_status = 0;
    std::string m_contentType;
    std::string m_capturedBody;
    bool m_captureTruncated = false;
    Watchdog m_watchdog;
};

} // namespace Hyssop::Internal
