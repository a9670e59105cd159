#include "exchange.h"

#include "relaylimits.h"

#include <observability/logging.h>
#include <utils/endpoint.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace Hyssop::Internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds DefaultTimeout{30}; // for a contract without a timeout

Exchange::Exchange(std::shared_ptr<ClientSession> session, ServiceStatePtr service, Route route)
    : m_state(session->m_state)
    , m_session(std::move(session))
    , m_service(std::move(service))
    , m_route(std::move(route))
    , m_keyedRequest(m_session, m_route)
    , m_watchdog(m_state->executor, [this] {
        // A late response on this connection must not be taken for the response to the next request.
        boost::system::error_code ignored;
        if (m_upstream) {
            m_upstream->socket.close(ignored);
        }
        m_session->m_socket.cancel(ignored);
    })
{
    const auto timeout = m_service->contract.timeout.count() > 0 ? m_service->contract.timeout : std::chrono::microseconds(DefaultTimeout);
    m_deadline = m_session->m_startedAt + timeout;
}

Exchange::~Exchange()
{
    if (m_holdsSlot) {
        m_service->concurrency.release();
    }
}

asio::awaitable<void> Exchange::run()
{
    auto &message = m_session->m_parser->get();
    m_idempotent = isIdempotentMethod(std::string_view(message.method_string().data(), message.method_string().size()));
    m_watchdog.arm(m_deadline);
    if (!m_idempotent && !m_keyedRequest.readKey()) {
        co_await m_session->respond(http::status::bad_request, RequestOutcome::NotRun, "one Idempotency-Key of 1 to 255 visible ASCII characters is allowed");
        co_return;
    }
    const auto length = m_session->m_parser->content_length();
    m_bodyBuffered = m_session->m_bodyComplete || m_keyedRequest.hasKey() || (length && *length <= MaximumBufferedBody);
    if (m_bodyBuffered && !m_session->m_bodyComplete) {
        const std::uint64_t limit = m_keyedRequest.hasKey() ? m_state->options.maximumKeyedBodyBytes : MaximumBufferedBody;
        const bool isRead = co_await m_session->readWholeBody(limit);
        if (!isRead) {
            co_return;
        }
        if (!length) {
            message.chunked(false);
            message.content_length(m_session->m_body.size());
        }
    }
    if (m_keyedRequest.hasKey()) {
        const bool isClaimed = co_await m_keyedRequest.claim(m_watchdog, m_deadline);
        if (!isClaimed) {
            co_return;
        }
    }
    prepareRequest(message, m_route.rest, m_session->m_callerAddress, m_session->m_requestId);
    co_await sendWithRetries();
}

asio::awaitable<void> Exchange::sendWithRetries()
{
    AttemptResult result = AttemptResult::ConnectFailed;
    for (int attemptNumber = 1;; ++attemptNumber) {
        const TimePoint now = std::chrono::steady_clock::now();
        const auto target = m_state->targets.choose(m_route.customer, m_route.service, m_failedTargets, now);
        m_mayHaveRun = m_mayHaveRun || m_progress.bytesWritten > 0;
        m_progress = AttemptProgress();
        if (!target || now >= m_deadline) {
            result = target ? AttemptResult::TimedOut : AttemptResult::ConnectFailed;
            break;
        }
        const std::string address = target->address;
        result = co_await attempt(address);
        finishAttempt(address, result);
        if (!prepareRetry(result, attemptNumber)) {
            break;
        }
        asio::steady_timer delay(m_state->executor, fullJitterDelay(attemptNumber, m_state->random));
        co_await delay.async_wait(AsTuple);
    }
    if (m_keyedRequest.isClaimed()) {
        if (result == AttemptResult::Delivered) {
            m_keyedRequest.recordResponse(m_response->status(), m_response->contentType());
        } else {
            m_keyedRequest.recordFailure(outcome() == RequestOutcome::NotRun);
        }
    }
    if (result == AttemptResult::Aborted) {
        m_state->metrics.add("hyssop_gateway_answers_cut_total", labels());
        m_session->m_closing = true;
    } else if (result != AttemptResult::Delivered) {
        co_await respondToFailure(result);
    }
}

bool Exchange::prepareRetry(AttemptResult result, int attempt)
{
    if (result == AttemptResult::Delivered || result == AttemptResult::Aborted || result == AttemptResult::CallerFailed) {
        return false;
    }
    const bool isReplayable = m_bodyBuffered || m_progress.bytesWritten == 0;
    const bool isAllowed = mayRetry(outcomeOf(m_progress), m_idempotent, isReplayable);
    if (!isAllowed || attempt >= m_service->contract.maximumAttempts || std::chrono::steady_clock::now() >= m_deadline) {
        return false;
    }
    if (!m_service->retries.tryTake()) {
        m_state->metrics.add("hyssop_gateway_retries_refused_total", labels());
        return false;
    }
    m_state->metrics.add("hyssop_gateway_retries_total", labels());
    return true;
}

RequestOutcome Exchange::outcome() const
{
    const RequestOutcome attemptOutcome = outcomeOf(m_progress);
    return attemptOutcome == RequestOutcome::NotRun && m_mayHaveRun ? RequestOutcome::Unknown : attemptOutcome;
}

void Exchange::finishAttempt(const std::string &address, AttemptResult result)
{
    const TimePoint now = std::chrono::steady_clock::now();
    m_state->targets.requestFinished(address);
    if (result == AttemptResult::Delivered) {
        m_state->targets.recordResponse(address, !m_response->targetKeepsAlive());
        m_service->retries.recordSuccess();
        m_holdsSlot = false;
        if (m_response->targetOverloaded()) {
            m_service->concurrency.releaseAfterOverload(now);
        } else {
            m_service->concurrency.releaseAfterResponse(std::chrono::duration_cast<std::chrono::microseconds>(m_response->startedAt() - m_session->m_startedAt),
                                                        now);
        }
        return;
    }
    // A failure on the caller's side does not indicate a problem of the target.
    if (result == AttemptResult::CallerFailed || (result == AttemptResult::Aborted && !m_response->targetOverloaded())) {
        return;
    }
    m_failedTargets.insert(address);
    m_state->targets.recordFailure(address, now);
    m_state->metrics.add("hyssop_gateway_target_failures_total", labels());
    if (result == AttemptResult::TimedOut && m_holdsSlot) {
        m_holdsSlot = false;
        m_service->concurrency.releaseAfterOverload(now);
    }
}

asio::awaitable<AttemptResult> Exchange::attempt(std::string address)
{
    m_state->targets.requestStarted(address);
    m_response.reset();
    m_sender.reset();
    m_keyedRequest.discardCapturedBody();
    m_upstream = m_state->pool.takeIdle(address, std::chrono::steady_clock::now());
    if (!m_upstream) {
        const bool isConnected = co_await connect(address);
        if (!isConnected) {
            m_upstream.reset();
            co_return std::chrono::steady_clock::now() >= m_deadline ? AttemptResult::TimedOut : AttemptResult::ConnectFailed;
        }
    }
    // If the process was suspended, the connection may be ready before the watchdog has run.
    if (std::chrono::steady_clock::now() >= m_deadline) {
        m_upstream.reset();
        co_return AttemptResult::TimedOut;
    }
    m_sender.emplace(m_session, m_watchdog);
    m_response.emplace(m_session, *m_sender, m_keyedRequest, m_watchdog);
    const bool isSent = co_await m_sender->send(m_upstream, m_bodyBuffered);
    AttemptResult result = AttemptResult::ConnectionLost;
    if (isSent) {
        result = co_await m_response->run(m_upstream);
    } else {
        result = m_sender->connectionFailure();
    }
    co_await m_sender->stop(m_upstream);
    m_progress = {m_sender->bytesWritten(), m_response->isAccepted()};
    if (m_sender->callerError() && result == AttemptResult::ConnectionLost) {
        result = AttemptResult::CallerFailed;
    }
    const bool isReusable = result == AttemptResult::Delivered && m_response->targetKeepsAlive() && m_response->isComplete() && m_session->m_bodyComplete;
    if (isReusable && m_upstream->socket.is_open()) {
        m_state->pool.putBack(address, std::move(m_upstream), std::chrono::steady_clock::now());
    }
    m_upstream.reset();
    co_return result;
}

asio::awaitable<bool> Exchange::connect(std::string address)
{
    auto endpoint = capture([&] { return parseEndpoint(address); });
    if (valueOf(endpoint) == nullptr) {
        co_return false;
    }
    m_upstream = std::make_shared<UpstreamConnection>(m_state->executor);
    m_watchdog.arm(std::min(m_deadline, std::chrono::steady_clock::now() + m_state->options.connectTimeout));
    const auto [error] = co_await m_upstream->socket.async_connect(*valueOf(endpoint), AsTuple);
    const bool isExpired = m_watchdog.expired();
    m_watchdog.arm(m_deadline);
    if (error || isExpired) {
        co_return false;
    }
    boost::system::error_code ignored;
    m_upstream->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    // The pool's check of idle connections must not block.
    m_upstream->socket.non_blocking(true, ignored);
    co_return true;
}

asio::awaitable<void> Exchange::respondToFailure(AttemptResult result)
{
    const RequestOutcome requestOutcome = outcome();
    m_watchdog.disarm();
    if (result == AttemptResult::CallerFailed) {
        co_await m_session->respondToBodyError(m_sender->callerError(), requestOutcome);
        co_return;
    }
    if (m_sender && m_sender->isStreamed()) {
        // The body was read only in part; its rest would be parsed as the next request.
        m_session->m_closing = true;
    }
    logMessage(
        LogLevel::Warning,
        "gateway",
        "request failed",
        {{"request_id", m_session->m_requestId}, {"customer", m_route.customer}, {"service", m_route.service}, {"outcome", outcomeName(requestOutcome)}});
    if (requestOutcome == RequestOutcome::NotRun) {
        co_await m_session->respond(http::status::service_unavailable, requestOutcome, "no target could be reached");
    } else if (result == AttemptResult::TimedOut) {
        co_await m_session->respond(http::status::gateway_timeout, requestOutcome, "the target did not answer in time");
    } else {
        co_await m_session->respond(http::status::bad_gateway, requestOutcome, "the connection to the target was lost before its answer was complete");
    }
}

MetricLabels Exchange::labels() const
{
    return {{"customer", m_route.customer}, {"service", m_route.service}};
}

} // namespace Hyssop::Internal
