#include "hedgedreader.h"

#include "detachedtask.h"
#include "responsetimeestimate.h"

#include <observability/logging.h>
#include <ports/metadatastore.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr auto HedgedAsTuple = asio::as_tuple(asio::use_awaitable);
// Three in ten responses can be lost for a while. More reads would burden a store that is slow.
constexpr int MaximumOpenReads = 3;

/// Records the response time of a read that the store may have delayed by up to @p wait until there was a record.
static void recordResponseTime(ResponseTimeEstimate &estimate, const TopicReadResult &result, Duration elapsed, std::chrono::milliseconds wait)
{
    const Duration shortest = std::max<Duration>(elapsed - wait, Duration::zero());
    const auto *page = std::get_if<RecordPage>(&result);
    const bool hasWaited = page != nullptr && page->records.empty();
    estimate.record(shortest, hasWaited ? shortest : elapsed);
}

} // namespace Internal

struct HedgedReader::State
{
    State(const asio::any_io_executor &executor, const Clock &clock, MetadataStore &store, Topic topic)
        : timer(executor)
        , clock(clock)
        , store(store)
        , topic(topic)
    {
    }

    asio::steady_timer timer; // of the wait of the current call; each response ends it early
    const Clock &clock;
    MetadataStore &store;
    Topic topic;
    ResponseTimeEstimate responseTimes;
    int openReads = 0;
    std::uint64_t call = 0; // number of the current call of read(); responses to reads of earlier ones are discarded
    std::optional<Response> response; // the first one to the current call
    bool isClosed = false; // the reader is destroyed
};

HedgedReader::HedgedReader(const asio::any_io_executor &executor, const Clock &clock, MetadataStore &store, Topic topic)
    : m_state(std::make_shared<State>(executor, clock, store, topic))
{
}

HedgedReader::~HedgedReader()
{
    m_state->isClosed = true;
}

asio::awaitable<std::optional<HedgedReader::Response>> HedgedReader::read(std::int64_t from, std::chrono::milliseconds wait, std::function<bool()> isWanted)
{
    std::chrono::milliseconds nextWait = wait;
    TimePoint dueAt = m_state->clock.now(); // of the next read
    while (!m_state->response && isWanted()) {
        const TimePoint now = m_state->clock.now();
        if (now >= dueAt && m_state->openReads < Internal::MaximumOpenReads) {
            send(from, nextWait);
            dueAt = now + nextWait + m_state->responseTimes.repeatDelay();
            nextWait = std::chrono::milliseconds::zero();
        }
        if (!m_state->response) {
            co_await waitForResponse(dueAt);
        }
    }
    co_return finish();
}

void HedgedReader::send(std::int64_t from, std::chrono::milliseconds wait)
{
    if (m_state->openReads > 0) {
        logMessage(LogLevel::Info, "follower", "read repeated", {{"topic", topicName(m_state->topic)}, {"open_reads", m_state->openReads}});
    }
    ++m_state->openReads;
    asio::co_spawn(m_state->timer.get_executor(), receive(m_state, from, wait, m_state->clock.now()), endProcessOnException);
}

asio::awaitable<void> HedgedReader::receive(std::shared_ptr<State> state, std::int64_t from, std::chrono::milliseconds wait, TimePoint sentAt)
{
    const std::uint64_t call = state->call;
    TopicReadResult result = co_await state->store.read(state->topic, from, wait);
    if (state->isClosed) {
        co_return;
    }
    --state->openReads;
    if (!std::holds_alternative<Error>(result)) {
        Internal::recordResponseTime(state->responseTimes, result, state->clock.now() - sentAt, wait);
    }
    if (call == state->call && !state->response) {
        state->response = Response{std::move(result), sentAt};
    }
    state->timer.cancel();
}

asio::awaitable<void> HedgedReader::waitForResponse(TimePoint until)
{
    if (m_state->openReads < Internal::MaximumOpenReads) {
        m_state->timer.expires_after(std::max<Duration>(until - m_state->clock.now(), Duration::zero()));
    } else {
        m_state->timer.expires_at(asio::steady_timer::time_point::max());
    }
    co_await m_state->timer.async_wait(Internal::HedgedAsTuple);
}

std::optional<HedgedReader::Response> HedgedReader::finish()
{
    ++m_state->call;
    return std::exchange(m_state->response, std::nullopt);
}

} // namespace Hyssop
