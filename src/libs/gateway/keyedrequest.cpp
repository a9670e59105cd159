#include "keyedrequest.h"

#include <string_view>
#include <utility>
#include <variant>

namespace Hyssop::Internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t MaximumRecordedBody = 64 * 1024;

KeyedRequest::KeyedRequest(std::shared_ptr<ClientSession> session, const Route &route)
    : m_state(session->m_state)
    , m_session(std::move(session))
    , m_route(route)
{
}

bool KeyedRequest::readKey()
{
    const auto &message = m_session->m_parser->get();
    const auto key = message.find(IdempotencyKeyHeader);
    if (key == message.end()) {
        return true;
    }
    m_key = std::string(key->value());
    return message.count(IdempotencyKeyHeader) == 1 && isValidIdempotencyKey(m_key);
}

asio::awaitable<bool> KeyedRequest::claim(Watchdog &watchdog, TimePoint deadline)
{
    if (!m_state->journal) {
        co_await m_session->respond(http::status::service_unavailable, RequestOutcome::NotRun, "keyed requests need the platform log");
        co_return false;
    }
    const auto &message = m_session->m_parser->get();
    Wire::RequestIntent intent;
    intent.customer = m_route.customer;
    intent.serviceName = m_route.service;
    intent.key = m_key;
    intent.requestId = m_session->m_requestId;
    intent.bodyHash = requestHash(std::string_view(message.method_string().data(), message.method_string().size()), m_route.rest, m_session->m_body);
    // The watchdog would cancel operations on the caller's socket, which is needed for the response.
    watchdog.disarm();
    KeyClaim claim = co_await m_state->journal->claim(std::move(intent), deadline);
    m_claimed = std::holds_alternative<KeyGranted>(claim);
    if (m_claimed) {
        watchdog.arm(deadline);
        co_return true;
    }
    m_state->metrics.add("hyssop_gateway_key_claims_rejected_total", {{"customer", m_route.customer}, {"service", m_route.service}});
    if (const auto *refused = std::get_if<KeyRefused>(&claim)) {
        std::string reason = refused->reason;
        co_await m_session->respond(http::status::service_unavailable, RequestOutcome::NotRun, std::move(reason));
    } else if (std::holds_alternative<KeyMismatch>(claim)) {
        co_await m_session->respond(http::status::unprocessable_entity, RequestOutcome::NotRun, "another request with this key has a different body");
    } else if (std::holds_alternative<KeyTaken>(claim)) {
        co_await m_session->respond(http::status::bad_gateway, RequestOutcome::Unknown, "a request with this key was accepted; its outcome is not known");
    } else {
        RecordedOutcome outcome = std::get<RecordedOutcome>(claim);
        co_await m_session->replayResponse(std::move(outcome));
    }
    co_return false;
}

void KeyedRequest::captureBody(const char *data, std::size_t size)
{
    if (!m_claimed || m_captureTruncated) {
        return;
    }
    if (m_capturedBody.size() + size > MaximumRecordedBody) {
        m_captureTruncated = true;
        m_capturedBody.clear();
        return;
    }
    m_capturedBody.append(data, size);
}

void KeyedRequest::discardCapturedBody()
{
    m_capturedBody.clear();
    m_captureTruncated = false;
}

Wire::RequestOutcome KeyedRequest::outcome() const
{
    Wire::RequestOutcome outcome;
    outcome.customer = m_route.customer;
    outcome.serviceName = m_route.service;
    outcome.key = m_key;
    outcome.requestId = m_session->m_requestId;
    return outcome;
}

void KeyedRequest::recordResponse(unsigned status, const std::string &contentType)
{
    Wire::RequestOutcome outcome = this->outcome();
    outcome.known = true;
    outcome.notRun = false;
    outcome.status = static_cast<std::int32_t>(status);
    outcome.contentType = contentType;
    outcome.body = std::move(m_capturedBody);
    outcome.truncated = m_captureTruncated;
    m_state->journal->record(std::move(outcome));
}

void KeyedRequest::recordFailure(bool notRun)
{
    Wire::RequestOutcome outcome = this->outcome();
    outcome.known = false;
    outcome.notRun = notRun;
    m_state->journal->record(std::move(outcome));
}

} // namespace Hyssop::Internal
