#include "observedstore.h"

#include <observability/logging.h>
#include <observability/metricsregistry.h>
#include <ports/topicappend.h>
#include <utils/overloaded.h>

#include <utility>
#include <vector>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

// Several times the size of a usual page.
constexpr std::size_t LargeReadBytes = 256 * 1024;
// Beyond the wait for a record; limits the lines of a topic to one a second.
constexpr std::chrono::milliseconds SlowReadTime{1000};

static std::size_t sizeOf(const std::vector<KeyedRecord> &records)
{
    std::size_t bytes = 0;
    for (const KeyedRecord &record : records) {
        bytes += record.key.size() + (record.value ? record.value->size() : 0);
    }
    return bytes;
}

} // namespace Internal

ObservedStore::ObservedStore(MetadataStore &store, const Clock &clock, MetricsRegistry &metrics)
    : m_store(store)
    , m_clock(clock)
    , m_metrics(metrics)
{
}

asio::awaitable<TopicReadResult> ObservedStore::read(Topic topic, std::int64_t from, std::chrono::milliseconds wait)
{
    const TimePoint sentAt = m_clock.now();
    TopicReadResult result = co_await m_store.read(topic, from, wait);
    std::visit(Overloaded{[&](const RecordPage &page) {
                              recordPage({topic, from, page.records.size(), Internal::sizeOf(page.records), m_clock.now() - sentAt, wait});
                          },
                          [&](const RecordsExpired &) { countOutcome(topic, "expired"); },
                          [&](const Error &) { countOutcome(topic, "failed"); }},
               result);
    co_return result;
}

asio::awaitable<NewestRecordsResult> ObservedStore::readNewest(Topic topic, std::string afterKey)
{
    const TimePoint sentAt = m_clock.now();
    NewestRecordsResult result = co_await m_store.readNewest(topic, std::move(afterKey));
    std::visit(Overloaded{[&](const NewestRecordsPage &page) {
                              recordPage({topic, page.end, page.records.size(), Internal::sizeOf(page.records), m_clock.now() - sentAt, {}});
                          },
                          [&](const Error &) { countOutcome(topic, "failed"); }},
               result);
    co_return result;
}

asio::awaitable<TopicAppendResult> ObservedStore::append(TopicAppend append, std::chrono::milliseconds timeout)
{
    co_return co_await m_store.append(std::move(append), timeout);
}

void ObservedStore::countOutcome(Topic topic, const char *outcome)
{
    m_metrics.add("hyssop_topic_reads_total", {{"topic", topicName(topic)}, {"outcome", outcome}});
}

void ObservedStore::recordPage(const Read &read)
{
    countOutcome(read.topic, read.records > 0 ? "records" : "empty");
    if (read.records > 0) {
        m_metrics.observe("hyssop_topic_read_seconds", read.time, {{"topic", topicName(read.topic)}});
        m_metrics.add("hyssop_topic_read_bytes_total", {{"topic", topicName(read.topic)}}, static_cast<double>(read.bytes));
    }
    if (read.bytes < Internal::LargeReadBytes && read.time - read.wait < Internal::SlowReadTime) {
        return;
    }
    const auto durationMs = std::chrono::duration_cast<std::chrono::milliseconds>(read.time).count();
    logMessage(LogLevel::Info,
               "store",
               "large or slow read",
               {{"topic", topicName(read.topic)},
                {"offset", static_cast<long long>(read.offset)},
                {"records", read.records},
                {"bytes", read.bytes},
                {"duration_ms", static_cast<long long>(durationMs)},
                {"wait_ms", static_cast<long long>(read.wait.count())}});
}

} // namespace Hyssop
