#pragma once

#include <ports/keyedrecord.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>

namespace Hyssop {

class MetadataStore;

/// Appends compressed copies of records of the operators to Topic::OperatorCopies, for the instances that are far from the store.
/// All instances near the store do so, because any of them may be busy; the store takes the first copy of a record only.
class RecordCopier
{
public:
    /// Instances with a larger @p processorShare (number of cores) copy earlier. @p store must outlive the copier, and the copier
    /// must outlive the executor's work.
    RecordCopier(boost::asio::any_io_executor executor, MetadataStore &store, double processorShare);

    /// Appends a copy of @p record, after those of earlier calls, unless another instance does so before. A copy that the store
    /// does not take soon is given up: a reader that misses it reads the record itself.
    void publish(KeyedRecord record);

private:
    void startCopying();
    boost::asio::awaitable<void> copyRecords();
    boost::asio::awaitable<bool> hasNewCopy();
    boost::asio::awaitable<void> appendCopy(KeyedRecord record);
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds time);
    std::chrono::milliseconds copyDelay();

    boost::asio::any_io_executor m_executor;
    MetadataStore &m_store;
    double m_processorShare;
    std::minstd_rand m_random;
    std::deque<KeyedRecord> m_records; // not yet copied
    std::optional<std::int64_t> m_copiesEnd; // includes the copy of the last record; unknown if its append was not confirmed
    bool m_copying = false;
};

} // namespace Hyssop
