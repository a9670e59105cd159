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
// A scheduler that has not replied for this long loses the role of publisher to another one that publishes targets.
constexpr std::chrono::seconds PublisherTimeout{3};

/// Last reply of one scheduler.
struct SchedulerView
{
    std::string address;
    std::int64_t version = -1;
    std::vector<Wire::Target> targets;
    std::optional<TimePoint> repliedAt;
    bool changed = false; // since its list was last passed to the handler
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
    TimePoint lastReplyTime;
    bool stopped = false;
};

using TargetPollerStatePtr = std::shared_ptr<TargetPollerState>;

static void publishFrom(TargetPollerState &state, std::size_t index)
{
    SchedulerView &view = state.views[index];
    const bool hasNewList = state.publisher != index || view.changed;
    state.publisher = index;
    view.changed = false;
    if (hasNewList) {
        state.handler(view.targets);
    }
}

static void choosePublisher(TargetPollerState &state, TimePoint now)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < state.views.size(); ++i) {
        const SchedulerView &view = state.views[i];
        const bool isResponsive = view.repliedAt && now - *view.repliedAt < PublisherTimeout;
        // A list that another scheduler's list has replaced must not be used again when that one becomes empty.
        const bool isOutdated = state.publisher != i && !view.changed;
        if (!isResponsive || isOutdated || view.targets.empty()) {
            continue;
        }
        const bool isNewer = !best || view.version > state.views[*best].version;
        const bool isCurrent = best && view.version == state.views[*best].version && state.publisher == i;
        if (isNewer || isCurrent) {
            best = i;
        }
    }
    if (best) {
        publishFrom(state, *best);
        return;
    }
    // Only the current publisher may replace the targets with an empty list.
    if (state.publisher && state.views[*state.publisher].changed) {
        publishFrom(state, *state.publisher);
    }
}

static asio::awaitable<void> queryScheduler(TargetPollerStatePtr state, std::size_t index)
{
    Wire::TargetsRequest request;
    request.knownVersion = state->views[index].version;
    Wire::Message message;
    message.__set_targetsRequest(request);
    auto reply = co_await state->client.call(state->views[index].address, std::move(message), CallTimeout);
    const Wire::Message *replyMessage = valueOf(reply);
    if (state->stopped) {
        co_return;
    }
    if (replyMessage == nullptr || !replyMessage->__isset.targetsReply) {
        state->metrics.add("hyssop_gateway_target_polls_failed_total");
        co_return;
    }
    SchedulerView &view = state->views[index];
    state->lastReplyTime = std::chrono::steady_clock::now();
    view.repliedAt = state->lastReplyTime;
    if (replyMessage->targetsReply.changed && replyMessage->targetsReply.version != view.version) {
        view.version = replyMessage->targetsReply.version;
        view.targets = replyMessage->targetsReply.targets;
        view.changed = true;
    }
    choosePublisher(*state, state->lastReplyTime);
}

static asio::awaitable<void> pollScheduler(TargetPollerStatePtr state, std::size_t index, std::chrono::milliseconds interval)
{
    // One coroutine for each scheduler, so that an unresponsive one does not delay the others.
    asio::steady_timer timer(state->executor);
    while (!state->stopped) {
        co_await queryScheduler(state, index);
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

TimePoint TargetPoller::lastReplyTime() const
{
    return m_state->lastReplyTime;
}

} // namespace Hyssop
