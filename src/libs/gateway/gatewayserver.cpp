#include "gatewayserver.h"

#include "clientsession.h"
#include "gatewaystate.h"
#include "requestlog.h"

#include <http/httpclient.h>
#include <observability/logging.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace Internal {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds AcceptRetryDelay{100};
constexpr std::chrono::milliseconds DrainCheckInterval{10};

struct GatewayServerState
{
    GatewayServerState(const asio::any_io_executor &executor, const GatewayOptions &options, MetricsRegistry &metrics)
        : acceptor(executor, options.listen)
        , gateway(std::make_shared<GatewayState>(executor, options, metrics))
        , probeClient(executor)
        , probeTimer(executor)
    {
    }

    asio::ip::tcp::acceptor acceptor;
    GatewayStatePtr gateway;
    HttpClient probeClient;
    asio::steady_timer probeTimer;
    std::set<std::string> activeProbes; // addresses whose probe has not finished
};

using GatewayServerStatePtr = std::shared_ptr<GatewayServerState>;

static asio::awaitable<void> serveSession(std::shared_ptr<ClientSession> session)
{
    co_await session->run();
}

/// Counts and logs an exception of a session; it must not end the process.
static void reportSessionFailure(GatewayState &gateway, const std::exception_ptr &failure)
{
    if (!failure) {
        return;
    }
    gateway.metrics.add("hyssop_gateway_session_failures_total");
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &error) {
        logMessage(LogLevel::Error, "gateway", "session ended by an unexpected failure", {{"error", error.what()}});
    }
}

static void startSession(const GatewayStatePtr &gateway, asio::ip::tcp::socket socket)
{
    if (gateway->sessions.size() >= gateway->options.maximumConnections) {
        gateway->metrics.add("hyssop_gateway_connections_refused_total");
        return;
    }
    gateway->metrics.add("hyssop_gateway_connections_total");
    auto session = std::make_shared<ClientSession>(gateway, std::move(socket));
    asio::co_spawn(
        gateway->executor, serveSession(std::move(session)), [gateway](const std::exception_ptr &failure) { reportSessionFailure(*gateway, failure); });
}

static asio::awaitable<void> acceptConnections(GatewayServerStatePtr state)
{
    while (state->acceptor.is_open()) {
        auto [error, socket] = co_await state->acceptor.async_accept(AsTuple);
        if (error == asio::error::operation_aborted || !state->acceptor.is_open()) {
            co_return;
        }
        if (error) {
            // Out of file descriptors; retrying without a delay would keep a whole core busy.
            asio::steady_timer timer(state->gateway->executor, AcceptRetryDelay);
            co_await timer.async_wait(AsTuple);
            continue;
        }
        startSession(state->gateway, std::move(socket));
    }
}

/// Accepts the connections that are still in the listen backlog; closing the listener would reset them.
static void acceptPending(GatewayServerState &state)
{
    boost::system::error_code error;
    state.acceptor.cancel(error);
    state.acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket(state.gateway->executor);
        state.acceptor.accept(socket, error);
        if (!error) {
            startSession(state.gateway, std::move(socket));
        }
    }
    state.acceptor.close(error);
}

static ProbeResult probeResult(Outcome<HttpResponse> &outcome)
{
    const HttpResponse *response = valueOf(outcome);
    if (response == nullptr) {
        return ProbeResult::Failing;
    }
    if (response->result() == http::status::service_unavailable) {
        return ProbeResult::Leaving;
    }
    return response->result() == http::status::ok ? ProbeResult::Healthy : ProbeResult::Failing;
}

static asio::awaitable<void> probeTarget(GatewayServerStatePtr state, std::string address)
{
    const GatewayStatePtr gateway = state->gateway;
    // A new connection for each probe also tests whether the target accepts connections, and pooled ones would outlive
    // removed targets.
    HttpRequest request(http::verb::get, "/healthz", 11);
    request.keep_alive(false);
    auto outcome = co_await state->probeClient.send(address, std::move(request), gateway->options.probeTimeout);
    state->activeProbes.erase(address);
    const ProbeResult result = probeResult(outcome);
    gateway->targets.recordProbe(address, result, std::chrono::steady_clock::now());
    if (result == ProbeResult::Failing) {
        gateway->metrics.add("hyssop_gateway_probe_failures_total");
    }
}

static void updateGauges(GatewayState &gateway)
{
    gateway.metrics.set("hyssop_gateway_connections", static_cast<double>(gateway.sessions.size()));
    gateway.metrics.set("hyssop_gateway_requests_in_flight", gateway.requestsInFlight);
    gateway.metrics.set("hyssop_gateway_idle_target_connections", static_cast<double>(gateway.pool.size()));
    for (const auto &[key, service] : gateway.services) {
        const MetricLabels labels{{"customer", key.first}, {"service", key.second}};
        gateway.metrics.set("hyssop_gateway_concurrency_limit", service->concurrency.limit(), labels);
        gateway.metrics.set("hyssop_gateway_service_in_flight", service->concurrency.inFlight(), labels);
    }
}

static asio::awaitable<void> probeTargets(GatewayServerStatePtr state)
{
    const GatewayStatePtr gateway = state->gateway;
    while (!gateway->stopped) {
        const TimePoint now = std::chrono::steady_clock::now();
        gateway->targets.advance(now);
        gateway->updateAdmissionRamps(now);
        gateway->pool.closeExpired(now);
        updateGauges(*gateway);
        for (const std::string &address : gateway->targets.addresses()) {
            if (state->activeProbes.insert(address).second) {
                asio::co_spawn(gateway->executor, probeTarget(state, address), asio::detached);
            }
        }
        state->probeTimer.expires_after(gateway->options.probeInterval);
        co_await state->probeTimer.async_wait(AsTuple);
    }
}

} // namespace Internal

GatewayServer::GatewayServer(asio::any_io_executor executor, GatewayOptions options, MetricsRegistry &metrics, RequestLog *requestLog)
    : m_state(std::make_shared<Internal::GatewayServerState>(executor, options, metrics))
{
    if (requestLog == nullptr) {
        return;
    }
    const std::weak_ptr<Internal::GatewayState> weak = m_state->gateway;
    auto windows = [weak](const std::string &customer, const std::string &service) {
        const auto gateway = weak.lock();
        return gateway ? gateway->idempotencyWindow(customer, service) : std::chrono::microseconds(std::chrono::minutes(10));
    };
    m_state->gateway->journal = std::make_unique<RequestJournal>(std::move(executor), *requestLog, metrics, std::move(windows));
}

GatewayServer::~GatewayServer()
{
    stop();
}

void GatewayServer::setContracts(const std::vector<Contract> &contracts)
{
    Internal::GatewayState &gateway = *m_state->gateway;
    const TimePoint now = std::chrono::steady_clock::now();
    auto previous = std::exchange(gateway.services, {});
    for (const Contract &contract : contracts) {
        for (const ServiceContract &service : contract.services) {
            const std::pair key(contract.customer, service.name);
            const auto known = previous.find(key);
            if (known == previous.end()) {
                gateway.services[key] = std::make_shared<Internal::ServiceState>(contract.customer, service, gateway.options, now);
                continue;
            }
            known->second->update(service, gateway.options);
            gateway.services[key] = known->second;
        }
    }
    gateway.contractsLoaded = true;
}

void GatewayServer::applyPublication(const std::vector<Wire::Target> &targets)
{
    const TimePoint now = std::chrono::steady_clock::now();
    m_state->gateway->targets.applyPublication(targets, now);
    m_state->gateway->updateAdmissionRamps(now);
}

void GatewayServer::applyInstances(const std::vector<ListedInstance> &instances)
{
    m_state->gateway->targets.applyInstances(instances);
}

void GatewayServer::start()
{
    asio::co_spawn(m_state->gateway->executor, Internal::acceptConnections(m_state), asio::detached);
    asio::co_spawn(m_state->gateway->executor, Internal::probeTargets(m_state), asio::detached);
}

asio::awaitable<int> GatewayServer::drain(std::chrono::milliseconds acceptTime, std::chrono::milliseconds finishTime)
{
    const auto state = m_state;
    state->gateway->draining = true;
    asio::steady_timer timer(state->gateway->executor, acceptTime);
    co_await timer.async_wait(Internal::AsTuple);
    Internal::acceptPending(*state);
    const TimePoint deadline = std::chrono::steady_clock::now() + finishTime;
    while (!state->gateway->sessions.empty() && std::chrono::steady_clock::now() < deadline) {
        for (Internal::ClientSession *session : state->gateway->sessions) {
            session->closeIfIdle();
        }
        timer.expires_after(Internal::DrainCheckInterval);
        co_await timer.async_wait(Internal::AsTuple);
    }
    co_return state->gateway->requestsInFlight;
}

void GatewayServer::stop()
{
    Internal::GatewayState &gateway = *m_state->gateway;
    boost::system::error_code ignored;
    gateway.stopped = true;
    m_state->acceptor.close(ignored);
    m_state->probeTimer.cancel();
    for (Internal::ClientSession *session : gateway.sessions) {
        session->close();
    }
}

asio::ip::tcp::endpoint GatewayServer::localEndpoint() const
{
    return m_state->acceptor.local_endpoint();
}

std::vector<TargetEntry> GatewayServer::targets() const
{
    return m_state->gateway->targets.entries();
}

int GatewayServer::requestsInFlight() const
{
    return m_state->gateway->requestsInFlight;
}

bool GatewayServer::draining() const
{
    return m_state->gateway->draining;
}

} // namespace Hyssop
