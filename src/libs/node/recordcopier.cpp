#include "recordcopier.h"

#include "detachedtask.h"
#include "recordcopy.h"
#include "topicend.h"

#include <observability/logging.h>
#include <ports/metadatastore.h>
#include <ports/topicappend.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <string>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr const char *CopyProducer = "copier";
constexpr std::chrono::milliseconds CopyAppendTimeout{500};
constexpr std::chrono::milliseconds CopyRetryDelay{100};
constexpr int MaximumCopyAppends = 3; // later, readers have read the record itself
// An instance with this share of a core compresses a large record fast enough to be among the first.
constexpr double SufficientCopyShare = 0.5;
constexpr std::chrono::milliseconds MaximumShareDelay{300};
constexpr std::chrono::milliseconds MaximumJitter{50};

static std::string failureReason(const TopicAppendResult &result)
{
    if (const auto *rejected = std::get_if<TopicAppendRejected>(&result)) {
        return rejected->reason;
    }
    const auto *undetermined = std::get_if<TopicAppendUndetermined>(&result);
    return undetermined != nullptr ? undetermined->reason : "conflict";
}

} // namespace Internal

RecordCopier::RecordCopier(asio::any_io_executor executor, MetadataStore &store, double processorShare)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_processorShare(processorShare)
    , m_random(std::random_device()())
{
}

void RecordCopier::publish(KeyedRecord record)
{
    m_records.push_back(std::move(record));
    startCopying();
}

/// An exception ends the copying of one record only: the next ones are copied by a new coroutine.
void RecordCopier::startCopying()
{
    if (m_copying || m_records.empty()) {
        return;
    }
    m_copying = true;
    asio::co_spawn(m_executor, copyRecords(), [this](const std::exception_ptr &exception) {
        logException(exception);
        m_copying = false;
        startCopying();
    });
}

asio::awaitable<void> RecordCopier::copyRecords()
{
    while (!m_records.empty()) {
        KeyedRecord record = std::move(m_records.front());
        m_records.pop_front();
        co_await sleep(copyDelay());
        if (!co_await hasNewCopy()) {
            co_await appendCopy(std::move(record));
        }
    }
}

/// Returns true if another instance has written a copy since the last known one. Saves the compression; an error is harmless, because
/// the store takes the first copy of a record only, and a reader that misses a copy reads the record itself.
asio::awaitable<bool> RecordCopier::hasNewCopy()
{
    const TopicReadResult result = co_await readTopicEnd(m_store, Topic::OperatorCopies, std::chrono::milliseconds(0));
    const auto *page = std::get_if<RecordPage>(&result);
    if (page == nullptr || !m_copiesEnd || page->end <= *m_copiesEnd) {
        co_return false;
    }
    m_copiesEnd = page->end;
    co_return true;
}

asio::awaitable<void> RecordCopier::appendCopy(KeyedRecord record)
{
    const KeyedRecord copy = encodeRecordCopy(record);
    // Without a response with its offset, this copy may be in the store, and would later be taken for one of the next record.
    m_copiesEnd.reset();
    for (int appends = 1; appends <= Internal::MaximumCopyAppends; ++appends) {
        // One epoch for each record, of which the store takes one first append.
        const TopicAppend append{Topic::OperatorCopies, {copy}, std::nullopt, ProducerPosition{Internal::CopyProducer, record.offset + 1, 0}};
        const TopicAppendResult result = co_await m_store.append(append, Internal::CopyAppendTimeout);
        if (const auto *appended = std::get_if<TopicAppended>(&result)) {
            m_copiesEnd = appended->offset + 1;
            logMessage(LogPriority::Essential,
                       LogLevel::Info,
                       "copier",
                       "copy of record in store",
                       {{"key", copy.key}, {"offset", static_cast<long long>(record.offset)}, {"copy_bytes", copy.value->size()}});
            co_return;
        }
        if (std::holds_alternative<ProducerFenced>(result)) {
            co_return; // another instance has copied this record or a later one
        }
        logMessage(LogLevel::Warning,
                   "copier",
                   "record not copied",
                   {{"key", copy.key}, {"copy_bytes", copy.value->size()}, {"reason", Internal::failureReason(result)}});
        co_await sleep(Internal::CopyRetryDelay);
    }
}

asio::awaitable<void> RecordCopier::sleep(std::chrono::milliseconds time)
{
    asio::steady_timer timer(m_executor, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

std::chrono::milliseconds RecordCopier::copyDelay()
{
    const double shortfall = 1 - std::min(1.0, m_processorShare / Internal::SufficientCopyShare);
    std::uniform_int_distribution<std::chrono::milliseconds::rep> jitter(0, Internal::MaximumJitter.count());
    return std::chrono::milliseconds(static_cast<int>(shortfall * Internal::MaximumShareDelay.count()) + jitter(m_random));
}

} // namespace Hyssop
