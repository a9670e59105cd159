#pragma once

#include <ports/metadatastore.h>
#include <utils/clock.h>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace Hyssop {

/// Store through which an instance that is far from it reads the records of the operators: it takes their compressed copies
/// (RecordCopier), so that large records do not fill the link that all far instances share with commands to workers. A record
/// whose copy does not appear soon is read itself. All other calls, and all calls of instances that are near or whose distance
/// is not known yet, are passed on.
class CopiedRecordStore : public MetadataStore
{
public:
    using Condition = std::function<bool()>;

    /// All references must outlive the store, and the store must outlive the work of the executors that call it.
    CopiedRecordStore(MetadataStore &store, const Clock &clock);

    /// While @p isOwner returns true, records are read themselves: the owner schedules with the configuration.
    void setOwnerCondition(Condition isOwner) { m_isOwner = std::move(isOwner); }

    /// Returns true if this instance reads the records themselves and has to copy them.
    bool isNear() const { return m_isFar && !*m_isFar; }

    boost::asio::awaitable<TopicReadResult> read(Topic topic, std::int64_t from, std::chrono::milliseconds wait) override;
    boost::asio::awaitable<NewestRecordsResult> readNewest(Topic topic, std::string afterKey) override;
    boost::asio::awaitable<TopicAppendResult> append(TopicAppend append, std::chrono::milliseconds timeout) override;

private:
    void startMeasurement(const boost::asio::any_io_executor &executor);
    boost::asio::awaitable<void> measureDistance();
    void setDistance(Duration roundTrip);
    boost::asio::awaitable<TopicReadResult> readCopies(std::int64_t from, std::int64_t end);
    boost::asio::awaitable<bool> receiveCopies(std::chrono::milliseconds wait);
    boost::asio::awaitable<bool> receiveNewestCopies();
    void addCopy(const KeyedRecord &copy);

    MetadataStore &m_store;
    const Clock &m_clock;
    Condition m_isOwner = [] { return false; };
    std::optional<bool> m_isFar; // unknown before the distance was measured; a near instance remains near
    Duration m_shortestRoundTrip = Duration::max();
    TimePoint m_nextMeasurement = TimePoint::min();
    bool m_isMeasuring = false;
    std::int64_t m_copiesEnd = 0; // copies before this offset were received, or were written before the distance was measured
    std::int64_t m_directEnd = 0; // records before this offset are read themselves: a copy was missing
    std::int64_t m_firstWanted = 0; // copies of records before it or from m_wantedEnd on are dropped
    std::int64_t m_wantedEnd = 0;
    std::map<std::int64_t, KeyedRecord> m_records; // received copies by offset in the topic of the operators
};

} // namespace Hyssop
