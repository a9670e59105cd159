#include "targetpoller.h"

#include <observability/metricsregistry.h>
#include <wire/rpcclient.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds CallTimeout{1000};
// A scheduler that has not answered for this long does not count as publisher if another one publishes.
constexpr std::chrono::seconds SilenceLimit{3};

/// What one scheduler said last.
struct SchedulerView
{
    std::string address;
    std::int64_t version = -1;
    std::vector<Wire::Target> targets;
    std::optional<TimePoint> answeredAt;
    bool changed = false; // since its list was last handed over
};

struct TargetPollerState
{
    TargetPollerState(asio::any_io_executor pollExecutor, RpcClient &rpcClient, MetricsRegistry &registry, const std::vector<std::string> &addresses)
        : executor(std::move(pollExecutor))
        , client(rpcClient)
        , metrics(registry)
    {
        for (const std::string &address : addresses) {
            views.emplace_back().address = address;
        }
    }

    asio::any_io_executor executor;
    RpcClient &client;
    MetricsRegistry &metrics;
    std::vector<SchedulerView> views;
    std::optional<std::size_t> publisher; // index in views
    TargetPoller::Handler handler;
    TimePoint lastAnswer;
    bool stopped = false;
};

using TargetPollerStatePtr = std::shared_ptr<TargetPollerState>;

static void takeOver(TargetPollerState &state, std::size_t index)
{
    SchedulerView &view = state.views[index];
    const bool isNews = state.publisher != index || view.changed;
    state.publisher = index;
    view.changed = false;
    if (isNews) {
        state.handler(view.targets);
    }
}

static void choosePublisher(TargetPollerState &state, TimePoint now)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < state.views.size(); ++i) {
        const SchedulerView &view = state.views[i];
        const bool isHeard = view.answeredAt && now - *view.answeredAt < SilenceLimit;
        // A list that was replaced by another scheduler's must not come back when that one is empty.
        const bool isOutdated = state.publisher != i && !view.changed;
        if (!isHeard || isOutdated || view.targets.empty()) {
            continue;
        }
        const bool isNewer = !best || view.version > state.views[*best].version;
        const bool isCurrent = best && view.version == state.views[*best].version && state.publisher == i;
        if (isNewer || isCurrent) {
            best = i;
        }
    }
    if (best) {
        takeOver(state, *best);
        return;
    }
    // Only the publisher itself can say that there are no targets left.
    if (state.publisher && state.views[*state.publisher].changed) {
        takeOver(state, *state.publisher);
    }
}

static asio::awaitable<void> askScheduler(TargetPollerStatePtr state, std::size_t index)
{
    Wire::TargetsRequest request;
    request.knownVersion = state->views[index].version;
    Wire::Message message;
    message.__set_targetsRequest(request);
    auto reply = co_await state->client.call(state->views[index].address, std::move(message), CallTimeout);
    const Wire::Message *answer = valueOf(reply);
    if (state->stopped) {
        co_return;
    }
    if (answer == nullptr || !answer->__isset.targetsReply) {
        state->metrics.add("hyssop_gateway_target_polls_failed_total");
        co_return;
    }
    SchedulerView &view = state->views[index];
    state->lastAnswer = std::chrono::steady_clock::now();
    view.answeredAt = state->lastAnswer;
    if (answer->targetsReply.changed && answer->targetsReply.version != view.version) {
        view.version = answer->targetsReply.version;
        view.targets = answer->targetsReply.targets;
        view.changed = true;
    }
    choosePublisher(*state, state->lastAnswer);
}

static asio::awaitable<void> pollScheduler(TargetPollerStatePtr state, std::size_t index, std::chrono::milliseconds interval)
{
    // One coroutine for each scheduler: a silent one must not delay the others.
    asio::steady_timer timer(state->executor);
    while (!state->stopped) {
        co_await askScheduler(state, index);
        timer.expires_after(interval);
        co_await timer.async_wait(AsTuple);
    }
}

} // namespace Internal

TargetPoller::TargetPoller(asio::any_io_executor executor, RpcClient &client, MetricsRegistry &metrics, std::vector<std::string> schedulers)
    : m_state(std::make_shared<Internal::TargetPollerState>(std::move(executor), client, metrics, schedulers))
{
}

TargetPoller::~TargetPoller()
{
    stop();
}

void TargetPoller::start(std::chrono::milliseconds interval, Handler handler)
{
    m_state->handler = std::move(handler);
    for (std::size_t i = 0; i < m_state->views.size(); ++i) {
        asio::co_spawn(m_state->executor, Internal::pollScheduler(m_state, i, interval), asio::detached);
    }
}

void TargetPoller::stop()
{
    m_state->stopped = true;
}

TimePoint TargetPoller::lastAnswer() const
{
    return m_state->lastAnswer;
}

} // namespace Hyssop
