#include "exchange.h"

#include <observability/logging.h>
#include <utils/endpoint.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace Hyssop::Internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t RelayBufferSize = 16 * 1024; // bytes of a streamed message that are held in memory, per direction
constexpr std::uint64_t MaximumBufferedBody = RelayBufferSize; // bodies up to this size are read completely before they are forwarded
constexpr std::uint32_t MaximumResponseHeader = 16 * 1024;
constexpr std::size_t MaximumRecordedBody = 64 * 1024;
constexpr std::chrono::seconds DefaultTimeout{30}; // for a contract without a timeout

Exchange::Exchange(std::shared_ptr<ClientSession> session, ServiceStatePtr service, Route route)
    : m_state(session->m_state)
    , m_session(std::move(session))
    , m_service(std::move(service))
    , m_route(std::move(route))
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
    const auto key = message.find(IdempotencyKeyHeader);
    if (key != message.end() && !m_idempotent) {
        m_idempotencyKey = std::string(key->value());
        if (message.count(IdempotencyKeyHeader) > 1 || !isValidIdempotencyKey(m_idempotencyKey)) {
            co_await m_session->respond(
                http::status::bad_request, RequestOutcome::NotRun, "one Idempotency-Key of 1 to 255 visible ASCII characters is allowed");
            co_return;
        }
    }
    const auto length = m_session->m_parser->content_length();
    m_bodyBuffered = m_session->m_bodyComplete || !m_idempotencyKey.empty() || (length && *length <= MaximumBufferedBody);
    if (m_bodyBuffered && !m_session->m_bodyComplete) {
        const std::uint64_t limit = m_idempotencyKey.empty() ? MaximumBufferedBody : m_state->options.maximumKeyedBodyBytes;
        const bool isRead = co_await m_session->readWholeBody(limit);
        if (!isRead) {
            co_return;
        }
        if (!length) {
            message.chunked(false);
            message.content_length(m_session->m_body.size());
        }
    }
    if (!m_idempotencyKey.empty()) {
        const bool isClaimed = co_await claimKey();
        if (!isClaimed) {
            co_return;
        }
    }
    prepareRequest(message, m_route.rest, m_session->m_callerAddress, m_session->m_requestId);
    co_await sendWithRetries();
}

asio::awaitable<bool> Exchange::claimKey()
{
    if (!m_state->journal) {
        co_await m_session->respond(http::status::service_unavailable, RequestOutcome::NotRun, "keyed requests need the platform log");
        co_return false;
    }
    const auto &message = m_session->m_parser->get();
    Wire::RequestIntent intent;
    intent.customer = m_route.customer;
    intent.serviceName = m_route.service;
    intent.key = m_idempotencyKey;
    intent.requestId = m_session->m_requestId;
    intent.bodyHash = requestHash(std::string_view(message.method_string().data(), message.method_string().size()), m_route.rest, m_session->m_body);
    // The watchdog would cancel operations on the caller's socket, which is needed for the response.
    m_watchdog.disarm();
    KeyClaim claim = co_await m_state->journal->claim(std::move(intent), m_deadline);
    m_keyClaimed = std::holds_alternative<KeyGranted>(claim);
    if (m_keyClaimed) {
        m_watchdog.arm(m_deadline);
        co_return true;
    }
    m_state->metrics.add("hyssop_gateway_key_claims_rejected_total", labels());
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
    if (m_keyClaimed) {
        recordOutcome(result == AttemptResult::Delivered);
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
        m_state->targets.recordResponse(address, !m_targetKeepsAlive);
        m_service->retries.recordSuccess();
        m_holdsSlot = false;
        if (m_targetOverloaded) {
            m_service->concurrency.releaseAfterOverload(now);
        } else {
            m_service->concurrency.releaseAfterResponse(std::chrono::duration_cast<std::chrono::microseconds>(*m_responseStartedAt - m_session->m_startedAt),
                                                        now);
        }
        return;
    }
    // A failure on the caller's side does not indicate a problem of the target.
    if (result == AttemptResult::CallerFailed || (result == AttemptResult::Aborted && !m_targetOverloaded)) {
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

asio::awaitable<Exchange::AttemptResult> Exchange::attempt(std::string address)
{
    m_state->targets.requestStarted(address);
    m_upload.reset();
    m_parser.reset();
    m_capturedBody.clear();
    m_captureTruncated = false;
    m_targetOverloaded = false;
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
    const bool isSent = co_await sendRequest();
    AttemptResult result = AttemptResult::ConnectionLost;
    if (isSent) {
        result = co_await receiveResponse();
    } else {
        result = failureResult();
    }
    co_await stopUpload();
    if (m_upload && m_upload->callerError && result == AttemptResult::ConnectionLost) {
        result = AttemptResult::CallerFailed;
    }
    const bool isReusable = result == AttemptResult::Delivered && m_targetKeepsAlive && m_parser->is_done() && m_session->m_bodyComplete;
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

asio::awaitable<bool> Exchange::sendRequest()
{
    auto &message = m_session->m_parser->get();
    m_serializer.emplace(message);
    auto &body = message.body();
    if (m_bodyBuffered) {
        body.data = m_session->m_body.empty() ? nullptr : m_session->m_body.data();
        body.size = m_session->m_body.size();
        body.more = false;
        const auto [error, size] = co_await http::async_write(m_upstream->socket, *m_serializer, AsTuple);
        m_progress.bytesWritten += size;
        co_return !error;
    }
    body.data = nullptr;
    body.size = 0;
    body.more = true;
    m_serializer->split(true);
    const auto [error, size] = co_await http::async_write_header(m_upstream->socket, *m_serializer, AsTuple);
    m_progress.bytesWritten += size;
    if (error) {
        co_return false;
    }
    m_serializer->split(false);
    m_upload = std::make_shared<Upload>(m_state->executor);
    const bool canReadBody = co_await m_session->sendContinue();
    if (!canReadBody) {
        m_upload->callerError = asio::error::eof;
        co_return false;
    }
    m_upload->running = true;
    asio::co_spawn(m_state->executor, sendBody(m_session, m_upload, m_upstream), asio::detached);
    co_return true;
}

asio::awaitable<void> Exchange::sendBody(std::shared_ptr<ClientSession> session, std::shared_ptr<Upload> upload, UpstreamConnectionPtr upstream)
{
    std::vector<char> buffer(RelayBufferSize);
    auto &parser = *session->m_parser;
    auto &body = parser.get().body();
    bool isFinished = false;
    while (!isFinished) {
        std::size_t filled = 0;
        if (!parser.is_done()) {
            body.data = buffer.data();
            body.size = buffer.size();
            session->armStallTimeout(session->m_readWatchdog);
            const auto [error, size] = co_await http::async_read_some(session->m_socket, session->m_buffer, parser, AsTuple);
            session->m_readWatchdog.disarm();
            filled = buffer.size() - body.size;
            if (error && error != http::error::need_buffer) {
                upload->callerError = error;
                break;
            }
        }
        isFinished = parser.is_done();
        if (filled == 0 && !isFinished) {
            continue;
        }
        body.data = filled == 0 ? nullptr : buffer.data();
        body.size = filled;
        body.more = !isFinished;
        const auto [error, size] = co_await http::async_write(upstream->socket, *m_serializer, AsTuple);
        if (error && error != http::error::need_buffer) {
            break;
        }
    }
    session->m_bodyComplete = isFinished;
    if (upload->callerError) {
        // The target can't respond without the rest of the body.
        boost::system::error_code ignored;
        upstream->socket.close(ignored);
    }
    upload->running = false;
    upload->changed.cancel();
}

asio::awaitable<void> Exchange::stopUpload()
{
    if (!m_upload || !m_upload->running) {
        co_return;
    }
    // The target responded before it had received the whole request.
    boost::system::error_code ignored;
    m_upstream->socket.close(ignored);
    m_session->m_socket.cancel(ignored);
    m_session->m_closing = true;
    while (m_upload->running) {
        m_upload->changed.expires_after(std::chrono::seconds(1));
        co_await m_upload->changed.async_wait(AsTuple);
    }
    m_upload->callerError.clear();
}

Exchange::AttemptResult Exchange::failureResult() const
{
    if (m_watchdog.expired()) {
        return AttemptResult::TimedOut;
    }
    return m_upload && m_upload->callerError ? AttemptResult::CallerFailed : AttemptResult::ConnectionLost;
}

asio::awaitable<Exchange::AttemptResult> Exchange::receiveResponse()
{
    unsigned status = 0;
    do {
        m_parser.emplace();
        m_parser->header_limit(MaximumResponseHeader);
        m_parser->body_limit(boost::none);
        m_parser->skip(m_session->m_isHead);
        const auto [error, size] = co_await http::async_read_header(m_upstream->socket, m_upstream->buffer, *m_parser, AsTuple);
        if (error) {
            const bool isMalformed = requestErrorOf(error).has_value();
            co_return isMalformed ? AttemptResult::MalformedResponse : failureResult();
        }
        status = m_parser->get().result_int();
    } while (status >= 100 && status < 200 && status != 101);
    if (status == 101) {
        co_return AttemptResult::MalformedResponse;
    }
    m_responseStartedAt = std::chrono::steady_clock::now();
    m_status = status;
    m_contentType = std::string(m_parser->get()[http::field::content_type]);
    m_targetKeepsAlive = m_parser->keep_alive();
    m_targetOverloaded = status == 503;
    const auto length = m_parser->content_length();
    const bool isSmall = m_parser->is_done() || (length && *length <= MaximumBufferedBody);
    if (isSmall) {
        co_return co_await forwardBufferedResponse();
    }
    co_return co_await forwardStreamedResponse();
}

void Exchange::prepareResponse(bool &keepAlive)
{
    auto &message = m_parser->get();
    const bool lengthUnknown = m_parser->need_eof() || message.chunked();
    removeHopByHopFields(message);
    message.version(m_session->m_version);
    keepAlive = m_session->keepsAlive();
    if (lengthUnknown && !m_parser->is_done()) {
        // For an HTTP/1.0 caller, only the end of the connection can mark the end of the response.
        const bool canChunk = m_session->m_version >= 11;
        message.chunked(canChunk);
        keepAlive = keepAlive && canChunk;
    }
    message.keep_alive(keepAlive);
    message.set(OutcomeHeader, "known");
    message.set(RequestIdHeader, m_session->m_requestId);
    m_progress.responseReceived = true;
}

asio::awaitable<Exchange::AttemptResult> Exchange::forwardBufferedResponse()
{
    // Forwards nothing before the response is complete, so that the caller gets an error status if it is truncated.
    std::string content(m_parser->is_done() ? 0 : static_cast<std::size_t>(*m_parser->content_length()), '\0');
    auto &body = m_parser->get().body();
    const bool hasBody = !m_parser->is_done();
    body.data = content.data();
    body.size = content.size();
    if (hasBody) {
        const auto [error, size] = co_await http::async_read(m_upstream->socket, m_upstream->buffer, *m_parser, AsTuple);
        if (error) {
            co_return failureResult();
        }
        captureBody(content.data(), content.size());
    }
    bool keepAlive = false;
    prepareResponse(keepAlive);
    body.data = hasBody ? content.data() : nullptr;
    body.size = content.size();
    body.more = false;
    http::response_serializer<http::buffer_body> serializer(m_parser->get());
    m_session->countResponse(m_status);
    m_watchdog.disarm();
    m_session->armStallTimeout(m_session->m_writeWatchdog);
    boost::system::error_code writeError;
    if (hasBody) {
        const auto [error, size] = co_await http::async_write(m_session->m_socket, serializer, AsTuple);
        writeError = error;
    } else {
        serializer.split(true);
        const auto [error, size] = co_await http::async_write_header(m_session->m_socket, serializer, AsTuple);
        writeError = error;
    }
    m_session->m_writeWatchdog.disarm();
    m_session->m_closing = m_session->m_closing || writeError || !keepAlive;
    co_return AttemptResult::Delivered;
}

asio::awaitable<Exchange::AttemptResult> Exchange::forwardStreamedResponse()
{
    bool keepAlive = false;
    prepareResponse(keepAlive);
    auto &body = m_parser->get().body();
    body.data = nullptr;
    body.size = 0;
    body.more = true;
    m_session->countResponse(m_status);
    m_upstream->buffer.reserve(RelayBufferSize);
    std::vector<char> buffer(RelayBufferSize);
    http::response_serializer<http::buffer_body> serializer(m_parser->get());
    bool isFinished = false;
    while (!isFinished) {
        body.data = buffer.data();
        body.size = buffer.size();
        std::size_t filled = 0;
        if (!m_parser->is_done()) {
            const auto [error, size] = co_await http::async_read_some(m_upstream->socket, m_upstream->buffer, *m_parser, AsTuple);
            filled = buffer.size() - body.size;
            if (error && error != http::error::need_buffer) {
                m_targetOverloaded = true;
                co_return AttemptResult::Aborted;
            }
        }
        isFinished = m_parser->is_done();
        if (filled == 0 && !isFinished) {
            continue;
        }
        captureBody(buffer.data(), filled);
        body.data = filled == 0 ? nullptr : buffer.data();
        body.size = filled;
        body.more = !isFinished;
        m_session->armStallTimeout(m_session->m_writeWatchdog);
        const auto [error, size] = co_await http::async_write(m_session->m_socket, serializer, AsTuple);
        m_session->m_writeWatchdog.disarm();
        if (error && error != http::error::need_buffer) {
            co_return AttemptResult::Aborted;
        }
    }
    m_session->m_closing = m_session->m_closing || !keepAlive;
    co_return AttemptResult::Delivered;
}

void Exchange::captureBody(const char *data, std::size_t size)
{
    if (!m_keyClaimed || m_captureTruncated) {
        return;
    }
    if (m_capturedBody.size() + size > MaximumRecordedBody) {
        m_captureTruncated = true;
        m_capturedBody.clear();
        return;
    }
    m_capturedBody.append(data, size);
}

void Exchange::recordOutcome(bool known)
{
    Wire::RequestOutcome outcome;
    outcome.customer = m_route.customer;
    outcome.serviceName = m_route.service;
    outcome.key = m_idempotencyKey;
    outcome.requestId = m_session->m_requestId;
    outcome.known = known;
    outcome.notRun = !known && this->outcome() == RequestOutcome::NotRun;
    if (known) {
        outcome.status = static_cast<std::int32_t>(m_status);
        outcome.contentType = m_contentType;
        outcome.body = std::move(m_capturedBody);
        outcome.truncated = m_captureTruncated;
    }
    m_state->journal->record(std::move(outcome));
}

asio::awaitable<void> Exchange::respondToFailure(AttemptResult result)
{
    const RequestOutcome requestOutcome = outcome();
    m_watchdog.disarm();
    if (result == AttemptResult::CallerFailed) {
        co_await m_session->respondToBodyError(m_upload->callerError, requestOutcome);
        co_return;
    }
    if (m_upload) {
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
