#include "clientsession.h"

#include "exchange.h"

#include <observability/logging.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace Hyssop::Internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t InitialReadSize = 4 * 1024;
constexpr std::size_t BodyReadSize = 16 * 1024;
constexpr std::uint64_t MaximumDiscardedBody = 64 * 1024;
constexpr std::size_t MaximumIdleBuffer = 8 * 1024;
constexpr std::chrono::milliseconds LingerTimeout{1000};
constexpr int MinimumStatus = 200;
constexpr int MaximumStatus = 999;

namespace {

/// Counts a request as in flight from its header to the end of its response.
class InFlightCounter
{
public:
    explicit InFlightCounter(GatewayState &state)
        : m_state(state)
    {
        ++m_state.requestsInFlight;
    }
    ~InFlightCounter() { --m_state.requestsInFlight; }
    InFlightCounter(const InFlightCounter &) = delete;
    InFlightCounter &operator=(const InFlightCounter &) = delete;

private:
    GatewayState &m_state;
};

} // namespace

ClientSession::ClientSession(GatewayStatePtr state, asio::ip::tcp::socket socket)
    : m_state(std::move(state))
    , m_socket(std::move(socket))
    , m_readWatchdog(m_state->executor, [this] { cancelTransfers(); })
    , m_writeWatchdog(m_state->executor, [this] { cancelTransfers(); })
{
    boost::system::error_code error;
    m_socket.set_option(asio::ip::tcp::no_delay(true), error);
    m_socket.non_blocking(true, error);
    const auto endpoint = m_socket.remote_endpoint(error);
    m_callerAddress = error ? "unknown" : endpoint.address().to_string();
    m_state->sessions.insert(this);
}

ClientSession::~ClientSession()
{
    m_state->sessions.erase(this);
}

asio::awaitable<void> ClientSession::run()
{
    const auto self = shared_from_this();
    while (!m_closing && !m_state->stopped) {
        const bool hasRequest = co_await readHeader();
        if (!hasRequest) {
            break;
        }
        {
            const InFlightCounter count(*m_state);
            co_await serveRequest();
        }
        m_parser.reset();
        m_body.clear();
        m_body.shrink_to_fit();
        if (m_buffer.size() == 0 && m_buffer.capacity() > MaximumIdleBuffer) {
            m_buffer = boost::beast::flat_buffer();
        }
    }
    co_await lingerAndClose();
}

void ClientSession::cancelTransfers()
{
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

void ClientSession::closeIfIdle()
{
    boost::system::error_code ignored;
    if (m_idle && m_socket.available(ignored) == 0) {
        m_closing = true;
        m_socket.cancel(ignored);
    }
}

void ClientSession::close()
{
    boost::system::error_code ignored;
    m_closing = true;
    m_socket.close(ignored);
}

asio::awaitable<bool> ClientSession::readHeader()
{
    const TimePoint waitStart = std::chrono::steady_clock::now();
    m_idle = m_buffer.size() == 0;
    if (m_idle) {
        m_readWatchdog.arm(waitStart + m_state->options.idleTimeout);
        const auto [error, size] = co_await m_socket.async_read_some(m_buffer.prepare(InitialReadSize), AsTuple);
        m_idle = false;
        if (error) {
            m_closing = true;
            co_return false;
        }
        m_buffer.commit(size);
    }
    m_startedAt = std::chrono::steady_clock::now();
    m_readWatchdog.arm(m_startedAt + m_state->options.headerTimeout);
    m_parser.emplace();
    m_parser->header_limit(m_state->options.maximumHeaderBytes);
    m_parser->body_limit(m_state->options.maximumBodyBytes);
    m_requestId = m_state->nextRequestId();
    m_customerLabel = "unknown";
    m_serviceLabel = "unknown";
    m_isHead = false;
    m_expectsContinue = false;
    m_requestKeepsAlive = false;
    m_version = 11;
    m_bodyComplete = false;
    const auto [error, size] = co_await http::async_read_header(m_socket, m_buffer, *m_parser, AsTuple);
    m_readWatchdog.disarm();
    if (!error) {
        co_return true;
    }
    if (m_readWatchdog.expired()) {
        m_state->metrics.add("hyssop_gateway_bad_requests_total", {{"reason", "header-timeout"}});
        co_await respond(http::status::request_timeout, RequestOutcome::NotRun, "the request header did not arrive in time");
    } else if (const auto requestError = requestErrorOf(error)) {
        m_state->metrics.add("hyssop_gateway_bad_requests_total", {{"reason", requestError->counter}});
        co_await respond(requestError->status, RequestOutcome::NotRun, requestError->message);
    }
    m_closing = true;
    co_return false;
}

asio::awaitable<void> ClientSession::serveRequest()
{
    const auto &header = m_parser->get();
    m_version = header.version();
    m_requestKeepsAlive = m_parser->keep_alive();
    m_bodyComplete = m_parser->is_done();
    m_isHead = header.method() == http::verb::head;
    m_expectsContinue = boost::beast::iequals(header[http::field::expect], "100-continue");
    if (const auto requestError = checkRequest(header)) {
        m_state->metrics.add("hyssop_gateway_bad_requests_total", {{"reason", requestError->counter}});
        m_closing = true;
        co_await respond(requestError->status, RequestOutcome::NotRun, requestError->message);
        co_return;
    }
    const auto route = parseRoute(std::string_view(header.target().data(), header.target().size()));
    if (!route) {
        co_await respond(http::status::not_found, RequestOutcome::NotRun, "the path must begin with /<customer>/<service>");
        co_return;
    }
    co_await serveRoute(*route);
}

asio::awaitable<void> ClientSession::serveRoute(Route route)
{
    const ServiceStatePtr service = m_state->service(route.customer, route.service);
    if (!service) {
        const bool isKnown = m_state->contractsLoaded;
        const auto status = isKnown ? http::status::not_found : http::status::service_unavailable;
        std::string message = isKnown ? "no such customer or service" : "the contracts are not known yet";
        co_await respond(status, RequestOutcome::NotRun, std::move(message));
        co_return;
    }
    m_customerLabel = route.customer;
    m_serviceLabel = route.service;
    const double admitted = service->ramp.admittedShare(m_startedAt);
    const char *exceededLimit = nullptr;
    if (!service->rate.tryTake(m_startedAt, admitted)) {
        exceededLimit = "rate";
    } else if (!service->concurrency.tryAcquire(admitted)) {
        exceededLimit = "concurrency";
    }
    if (exceededLimit != nullptr) {
        m_state->metrics.add("hyssop_gateway_limited_total", {{"customer", m_customerLabel}, {"service", m_serviceLabel}, {"limit", exceededLimit}});
        co_await respond(http::status::too_many_requests, RequestOutcome::NotRun, std::string("the service's ") + exceededLimit + " limit is reached");
        co_return;
    }
    co_await forward(service, std::move(route));
}

asio::awaitable<void> ClientSession::forward(ServiceStatePtr service, Route route)
{
    Exchange exchange(shared_from_this(), std::move(service), std::move(route));
    co_await exchange.run();
}

asio::awaitable<bool> ClientSession::sendContinue()
{
    if (!m_expectsContinue || m_bodyComplete) {
        co_return true;
    }
    m_expectsContinue = false;
    static const std::string continueLine = "HTTP/1.1 100 Continue\r\n\r\n";
    armStallTimeout(m_writeWatchdog);
    const auto [error, size] = co_await asio::async_write(m_socket, asio::buffer(continueLine), AsTuple);
    m_writeWatchdog.disarm();
    co_return !error;
}

asio::awaitable<bool> ClientSession::readWholeBody(std::uint64_t limit)
{
    const auto length = m_parser->content_length();
    if (length && *length > limit) {
        co_await respond(http::status::payload_too_large, RequestOutcome::NotRun, "the request body is too large");
        co_return false;
    }
    const bool canReadBody = co_await sendContinue();
    if (!canReadBody) {
        m_closing = true;
        co_return false;
    }
    std::size_t filled = 0;
    while (!m_parser->is_done()) {
        if (filled > limit) {
            co_await respond(http::status::payload_too_large, RequestOutcome::NotRun, "the request body is too large");
            co_return false;
        }
        m_body.resize(filled + (length ? static_cast<std::size_t>(*length) - filled : BodyReadSize));
        auto &body = m_parser->get().body();
        body.data = m_body.data() + filled;
        body.size = m_body.size() - filled;
        armStallTimeout(m_readWatchdog);
        const auto [error, size] = co_await http::async_read_some(m_socket, m_buffer, *m_parser, AsTuple);
        m_readWatchdog.disarm();
        filled = m_body.size() - body.size;
        if (error && error != http::error::need_buffer) {
            co_await respondToBodyError(error, RequestOutcome::NotRun);
            co_return false;
        }
    }
    m_body.resize(filled);
    m_bodyComplete = true;
    co_return true;
}

asio::awaitable<void> ClientSession::respondToBodyError(boost::system::error_code error, RequestOutcome outcome)
{
    m_closing = true;
    // Either the stall timeout or the timeout of the service has cancelled the transfer.
    if (error == asio::error::operation_aborted) {
        m_state->metrics.add("hyssop_gateway_bad_requests_total", {{"reason", "body-timeout"}});
        co_await respond(http::status::request_timeout, outcome, "the request body did not arrive in time");
        co_return;
    }
    RequestError requestError{http::status::bad_request, "the request body is incomplete", "incomplete"};
    if (const auto known = requestErrorOf(error)) {
        requestError = *known;
    }
    m_state->metrics.add("hyssop_gateway_bad_requests_total", {{"reason", requestError.counter}});
    co_await respond(requestError.status, outcome, requestError.message);
}

asio::awaitable<void> ClientSession::respond(http::status status, RequestOutcome outcome, std::string message)
{
    co_await discardBody();
    http::response<http::string_body> response(status, m_version);
    const auto name = outcomeName(outcome);
    response.set(OutcomeHeader, boost::beast::string_view(name.data(), name.size()));
    response.set(http::field::content_type, "text/plain");
    if (status == http::status::too_many_requests || status == http::status::service_unavailable) {
        response.set(http::field::retry_after, "1");
    }
    response.body() = std::move(message) + "\n";
    co_await writeResponse(std::move(response));
}

asio::awaitable<void> ClientSession::replayResponse(RecordedOutcome outcome)
{
    // The status comes from the log and may be invalid; the message class accepts three digits only.
    const bool isUsable = outcome.known && outcome.status >= MinimumStatus && outcome.status <= MaximumStatus;
    if (!isUsable) {
        co_await respond(http::status::bad_gateway, RequestOutcome::Unknown, "the first request with this key has no known outcome");
        co_return;
    }
    if (outcome.truncated) {
        const std::string status = std::to_string(outcome.status);
        co_await respond(http::status::conflict,
                         RequestOutcome::Known,
                         "the first request with this key was answered with status " + status + "; its answer is no longer available");
        co_return;
    }
    http::response<http::string_body> response(static_cast<http::status>(outcome.status), m_version);
    response.set(OutcomeHeader, "known");
    response.set(ReplayedHeader, "true");
    if (!outcome.contentType.empty()) {
        response.set(http::field::content_type, outcome.contentType);
    }
    response.body() = outcome.body;
    co_await writeResponse(std::move(response));
}

asio::awaitable<void> ClientSession::writeResponse(http::response<http::string_body> response)
{
    countResponse(response.result_int());
    response.set(RequestIdHeader, m_requestId);
    response.prepare_payload();
    if (m_isHead) {
        response.body().clear();
    }
    const bool keepAlive = keepsAlive();
    response.keep_alive(keepAlive);
    armStallTimeout(m_writeWatchdog);
    const auto [error, size] = co_await http::async_write(m_socket, response, AsTuple);
    m_writeWatchdog.disarm();
    m_closing = m_closing || error || !keepAlive;
}

asio::awaitable<void> ClientSession::discardBody()
{
    // A caller that waits for "100 Continue" has not sent a body.
    if (m_bodyComplete || m_closing || m_expectsContinue || !m_parser || !m_parser->is_header_done()) {
        co_return;
    }
    const auto length = m_parser->content_length();
    std::array<char, 4096> scratch{};
    std::uint64_t discarded = 0;
    armStallTimeout(m_readWatchdog);
    while (!m_parser->is_done()) {
        if ((length && *length > MaximumDiscardedBody) || discarded > MaximumDiscardedBody) {
            break;
        }
        auto &body = m_parser->get().body();
        body.data = scratch.data();
        body.size = scratch.size();
        const auto [error, size] = co_await http::async_read_some(m_socket, m_buffer, *m_parser, AsTuple);
        if (error && error != http::error::need_buffer) {
            break;
        }
        discarded += scratch.size() - body.size;
    }
    m_readWatchdog.disarm();
    m_bodyComplete = m_parser->is_done();
}

asio::awaitable<void> ClientSession::lingerAndClose()
{
    // Closing a socket with unread bytes resets the connection, and the caller might lose the response.
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::array<char, 4096> scratch{};
    m_readWatchdog.arm(std::chrono::steady_clock::now() + LingerTimeout);
    while (!ignored && !m_readWatchdog.expired()) {
        const auto [error, size] = co_await m_socket.async_read_some(asio::buffer(scratch), AsTuple);
        if (error) {
            break;
        }
    }
    m_socket.close(ignored);
}

bool ClientSession::keepsAlive() const
{
    return m_requestKeepsAlive && m_bodyComplete && !m_closing && !m_state->draining;
}

void ClientSession::armStallTimeout(Watchdog &watchdog)
{
    watchdog.arm(std::chrono::steady_clock::now() + m_state->options.stallTimeout);
}

void ClientSession::countResponse(unsigned status)
{
    const MetricLabels service{{"customer", m_customerLabel}, {"service", m_serviceLabel}};
    m_state->metrics.add("hyssop_gateway_requests_total", {service[0], service[1], {"status", std::to_string(status)}});
    m_state->metrics.observe("hyssop_gateway_request_seconds", std::chrono::steady_clock::now() - m_startedAt, service);
}

} // namespace Hyssop::Internal
