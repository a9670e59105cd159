#pragma once

#include "attemptresult.h"
#include "clientsession.h"
#include "keyedrequest.h"
#include "requestsender.h"
#include "responserelay.h"
#include "upstreampool.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Hyssop::Internal {

/// Forwards one request to a target and the response back to the caller.
class Exchange
{
public:
    Exchange(std::shared_ptr<ClientSession> session, ServiceStatePtr service, Route route);
    ~Exchange();

    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> sendWithRetries();
    boost::asio::awaitable<AttemptResult> attempt(std::string address);
    boost::asio::awaitable<bool> connect(std::string address);
    boost::asio::awaitable<void> respondToFailure(AttemptResult result);

    bool prepareRetry(AttemptResult result, int attempt);
    RequestOutcome outcome() const;
    void finishAttempt(const std::string &address, AttemptResult result);
    MetricLabels labels() const;

    GatewayStatePtr m_state;
    std::shared_ptr<ClientSession> m_session;
    ServiceStatePtr m_service;
    Route m_route;
    KeyedRequest m_keyedRequest;
    bool m_idempotent = false;
    bool m_bodyBuffered = false; // the body is in memory, so the request can be sent again
    bool m_holdsSlot = true; // of the service's concurrency limit
    TimePoint m_deadline;
    AttemptProgress m_progress; // of the current attempt
    bool m_mayHaveRun = false; // bytes were written in an earlier attempt
    UpstreamConnectionPtr m_upstream;
    std::optional<RequestSender> m_sender; // of the current attempt
    std::optional<ResponseRelay> m_response; // of the current attempt
    std::set<std::string> m_failedTargets;
    Watchdog m_watchdog;
};

} // namespace Hyssop::Internal
