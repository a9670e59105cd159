#include "instancepoller.h"

#include <observability/metricsregistry.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds ReadTimeout{1000};

struct InstancePollerState
{
    InstancePollerState(asio::any_io_executor pollExecutor, HttpClient &http, MetricsRegistry &registry, std::string address)
        : executor(std::move(pollExecutor))
        , client(http, std::move(address))
        , metrics(registry)
    {
    }

    asio::any_io_executor executor;
    InstanceListClient client;
    MetricsRegistry &metrics;
    InstancePoller::Handler handler;
    bool stopped = false;
};

static asio::awaitable<void> pollInstances(std::shared_ptr<InstancePollerState> state, std::chrono::milliseconds interval)
{
    asio::steady_timer timer(state->executor);
    while (!state->stopped) {
        auto instances = co_await state->client.read(ReadTimeout);
        if (state->stopped) {
            co_return;
        }
        if (valueOf(instances) != nullptr) {
            state->handler(*valueOf(instances));
        } else {
            state->metrics.add("hyssop_gateway_instance_reads_failed_total");
        }
        timer.expires_after(interval);
        co_await timer.async_wait(AsTuple);
    }
}

} // namespace Internal

InstancePoller::InstancePoller(asio::any_io_executor executor, HttpClient &http, MetricsRegistry &metrics, std::string address)
    : m_state(std::make_shared<Internal::InstancePollerState>(std::move(executor), http, metrics, std::move(address)))
{
}

InstancePoller::~InstancePoller()
{
    stop();
}

void InstancePoller::start(std::chrono::milliseconds interval, Handler handler)
{
    m_state->handler = std::move(handler);
    asio::co_spawn(m_state->executor, Internal::pollInstances(m_state, interval), asio::detached);
}

void InstancePoller::stop()
{
    m_state->stopped = true;
}

} // namespace Hyssop
