#include "ownerappender.h"

#include "detachedtask.h"

#include <observability/metricsregistry.h>
#include <ports/metadatastore.h>
#include <ports/topicappend.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr auto AppenderAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds AppendRetryDelay{60};
constexpr std::chrono::milliseconds AppendQueueInterval{20};

static std::size_t sizeOf(const std::vector<KeyedRecord> &records)
{
    std::size_t size = 0;
    for (const KeyedRecord &record : records) {
        size += record.key.size() + (record.value ? record.value->size() : 0);
    }
    return size;
}

} // namespace Internal

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
    const std::size_t bytes = Internal::sizeOf(records);
    int undeterminedAttempts = 0;
    std::optional<TimePoint> firstSentAt; // of the attempts that may have been executed
    while (m_term == term) {
        const TimePoint sentAt = m_clock.now();
        TopicAppend append{m_topic, records, std::nullopt, position()};
        const TopicAppendResult result = co_await m_store.append(std::move(append), m_timeouts.timeout(bytes, undeterminedAttempts));
        const Duration latency = m_clock.now() - sentAt;
        m_metrics.observe("hyssop_owner_append_seconds", latency);
        if (m_term != term) {
            co_return;
        }
        const bool isRetryable = std::holds_alternative<TopicAppendRejected>(result) || std::holds_alternative<TopicAppendUndetermined>(result);
        if (!isRetryable) {
            m_timeouts.recordLatency(std::chrono::duration_cast<std::chrono::milliseconds>(latency));
            finish(result, onResult, firstSentAt.value_or(sentAt));
            co_return;
        }
        if (std::holds_alternative<TopicAppendUndetermined>(result)) {
            firstSentAt = firstSentAt.value_or(sentAt);
            ++undeterminedAttempts;
        }
        m_metrics.add("hyssop_owner_append_retries_total");
        timer.expires_after(Internal::AppendRetryDelay);
        co_await timer.async_wait(Internal::AppenderAsTuple);
    }
}

void OwnerAppender::finish(const TopicAppendResult &result, const ResultHandler &onResult, TimePoint sentAt)
{
    m_appending = false;
    if (std::holds_alternative<TopicAppended>(result)) {
        ++m_sequence;
        m_lastAppend = m_clock.now();
    }
    onResult(result, sentAt);
}

} // namespace Hyssop
