#pragma once

#include <ports/metadatastore.h>
#include <utils/clock.h>

#include <cstddef>

namespace Hyssop {

class MetricsRegistry;

/// Store that records metrics of the reads of another one, and logs reads that are large or slow.
class ObservedStore : public MetadataStore
{
public:
    /// All references must outlive the store.
    ObservedStore(MetadataStore &store, const Clock &clock, MetricsRegistry &metrics);

    boost::asio::awaitable<TopicReadResult> read(Topic topic, std::int64_t from, std::chrono::milliseconds wait) override;
    boost::asio::awaitable<NewestRecordsResult> readNewest(Topic topic, std::string afterKey) override;
    boost::asio::awaitable<TopicAppendResult> append(TopicAppend append, std::chrono::milliseconds timeout) override;

private:
    struct Read
    {
        Topic topic = Topic::Jobs;
        std::int64_t offset = 0;
        std::size_t records = 0;
        std::size_t bytes = 0; // keys and values
        Duration time{}; // of the whole read, including the wait for a record
        std::chrono::milliseconds wait{0}; // part of the time that the store may have waited for a record
    };

    void countOutcome(Topic topic, const char *outcome);
    void recordPage(const Read &read);

    MetadataStore &m_store;
    const Clock &m_clock;
    MetricsRegistry &m_metrics;
};

} // namespace Hyssop
