#pragma once

#include "clientsession.h"

#include <cstddef>
#include <memory>
#include <string>

namespace Hyssop::Internal {

/// Idempotency key of a request: claims it before the request is sent and records the outcome.
class KeyedRequest
{
public:
    KeyedRequest(std::shared_ptr<ClientSession> session, const Route &route);

    /// Reads the key from the request header. Returns false if it is not valid.
    bool readKey();
    bool hasKey() const { return !m_key.empty(); }

    /// Claims the key. If it is not granted, sends the response and returns false. @p watchdog is not armed meanwhile.
    boost::asio::awaitable<bool> claim(Watchdog &watchdog, TimePoint deadline);
    bool isClaimed() const { return m_claimed; }

    /// Keeps a part of the response body for the record.
    void captureBody(const char *data, std::size_t size);
    void discardCapturedBody();

    void recordResponse(unsigned status, const std::string &contentType);
    void recordFailure(bool notRun);

private:
    Wire::RequestOutcome outcome() const;

    GatewayStatePtr m_state;
    std::shared_ptr<ClientSession> m_session;
    const Route &m_route;
    std::string m_key;
    bool m_claimed = false;
    std::string m_capturedBody;
    bool m_captureTruncated = false;
};

} // namespace Hyssop::Internal
