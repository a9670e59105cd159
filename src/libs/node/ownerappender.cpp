#include "ownerappender.h"

#include "detachedtask.h"

#include <observability/metricsregistry.h>
#include <ports/metadatastore.h>
#include <ports/topicappend.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr auto AppenderAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds AppendRetryDelay{60};
constexpr std::chrono::milliseconds AppendQueueInterval{20};
// Longer than the time between two appends, of which one is repeated.
constexpr std::chrono::milliseconds MaximumAppendPause{1500};
// More copies of an append would only burden a link that is full.
constexpr int MaximumOpenAttempts = 3;

static std::size_t sizeOf(const std::vector<KeyedRecord> &records)
{
    std::size_t size = 0;
    for (const KeyedRecord &record : records) {
        size += record.key.size() + (record.value ? record.value->size() : 0);
    }
    return size;
}

} // namespace Internal

/// The attempts of one append. Those that are left behind keep it alive.
struct OwnerAppender::Attempts
{
    explicit Attempts(const asio::any_io_executor &executor)
        : timer(executor)
    {
    }

    TimePoint firstSentAt() const { return *std::ranges::min_element(notRejected); }

    asio::steady_timer timer; // until the next attempt; each result ends the wait early
    std::vector<KeyedRecord> records;
    std::size_t bytes = 0;
    int sent = 0;
    int open = 0;
    TimePoint nextAt{}; // of the next attempt
    std::vector<TimePoint> notRejected; // when the attempts were sent that may have been executed
    std::optional<TopicAppendResult> result; // the first conclusive one
};

OwnerAppender::OwnerAppender(asio::any_io_executor executor, const Clock &clock, MetadataStore &store, MetricsRegistry &metrics, Topic topic)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_store(store)
    , m_metrics(metrics)
    , m_topic(topic)
{
}

void OwnerAppender::beginTerm(std::int64_t term, std::int64_t nextSequence)
{
    m_term = term;
    m_sequence = nextSequence;
    m_lastAppend = m_clock.now();
    m_respondingSince = m_lastAppend;
    m_lastRecord = m_lastAppend;
    m_appending = false;
}

ProducerPosition OwnerAppender::position() const
{
    return {ProducerName, m_term.value_or(0), m_sequence};
}

void OwnerAppender::append(std::vector<KeyedRecord> records, ResultHandler onResult)
{
    if (m_term) {
        asio::co_spawn(m_executor, appendWithRetries(std::move(records), std::move(onResult), *m_term), endProcessOnException);
    }
}

asio::awaitable<void> OwnerAppender::appendWithRetries(std::vector<KeyedRecord> records, ResultHandler onResult, std::int64_t term)
{
    asio::steady_timer timer(m_executor);
    while (m_appending && m_term == term) { // sequence numbers allow only one append in flight
        timer.expires_after(Internal::AppendQueueInterval);
        co_await timer.async_wait(Internal::AppenderAsTuple);
    }
    if (m_term != term) {
        co_return;
    }
    m_appending = true;
    const auto attempts = std::make_shared<Attempts>(m_executor);
    attempts->bytes = Internal::sizeOf(records);
    attempts->records = std::move(records);
    attempts->nextAt = m_clock.now();
    while (m_term == term && !attempts->result) {
        if (m_clock.now() >= attempts->nextAt && attempts->open < Internal::MaximumOpenAttempts) {
            sendAttempt(attempts);
        }
        if (attempts->open < Internal::MaximumOpenAttempts) {
            attempts->timer.expires_after(std::max<Duration>(attempts->nextAt - m_clock.now(), Duration::zero()));
        } else {
            attempts->timer.expires_at(asio::steady_timer::time_point::max());
        }
        if (!attempts->result) {
            co_await attempts->timer.async_wait(Internal::AppenderAsTuple);
        }
    }
    if (m_term == term) {
        finish(*attempts, onResult);
    }
}

void OwnerAppender::sendAttempt(const std::shared_ptr<Attempts> &attempts)
{
    const TimePoint sentAt = m_clock.now();
    if (attempts->sent > 0) {
        m_metrics.add("hyssop_owner_append_retries_total");
    }
    ++attempts->sent;
    ++attempts->open;
    attempts->notRejected.push_back(sentAt);
    attempts->nextAt = sentAt + m_timeouts.timeout(attempts->bytes, 0);
    TopicAppend append{m_topic, attempts->records, std::nullopt, position()};
    asio::co_spawn(m_executor, receiveResult(attempts, std::move(append), sentAt), endProcessOnException);
}

asio::awaitable<void> OwnerAppender::receiveResult(std::shared_ptr<Attempts> attempts, TopicAppend append, TimePoint sentAt)
{
    // Longer than the time until the next attempt: a store that has become slow must be able to respond.
    const TopicAppendResult result = co_await m_store.append(std::move(append), m_timeouts.timeout(attempts->bytes, attempts->sent));
    --attempts->open;
    const TimePoint now = m_clock.now();
    m_metrics.observe("hyssop_owner_append_seconds", now - sentAt);
    if (std::holds_alternative<TopicAppendRejected>(result)) {
        attempts->notRejected.erase(std::ranges::find(attempts->notRejected, sentAt));
    }
    if (std::holds_alternative<TopicAppendRejected>(result) || std::holds_alternative<TopicAppendUndetermined>(result)) {
        attempts->nextAt = std::min(attempts->nextAt, now + Internal::AppendRetryDelay);
    } else {
        m_timeouts.recordLatency(std::chrono::duration_cast<std::chrono::milliseconds>(now - sentAt));
        attempts->result = attempts->result.value_or(result);
    }
    attempts->timer.cancel();
}

void OwnerAppender::finish(const Attempts &attempts, const ResultHandler &onResult)
{
    m_appending = false;
    if (std::holds_alternative<TopicAppended>(*attempts.result)) {
        ++m_sequence;
        const TimePoint now = m_clock.now();
        m_respondingSince = now - m_lastAppend > Internal::MaximumAppendPause ? now : m_respondingSince;
        m_lastAppend = now;
        m_lastRecord = attempts.sent > 1 ? attempts.firstSentAt() : m_lastAppend;
    }
    onResult(*attempts.result, attempts.firstSentAt());
}

} // namespace Hyssop
