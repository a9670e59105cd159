#include "copiedrecordstore.h"

#include "detachedtask.h"
#include "recordcopy.h"
#include "topicend.h"

#include <observability/logging.h>
#include <ports/topicappend.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <exception>
#include <limits>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr int FirstDistanceMeasurements = 3;
constexpr std::chrono::seconds DistanceInterval{5}; // a few small calls a second of all far instances together
// Several times the round trip between machines of one region, half of one between regions.
constexpr std::chrono::milliseconds FarRoundTrip{20};
constexpr std::chrono::milliseconds NoticeInterval{250};
// A copy is usually there when its record is noticed, or after the time in which a near instance reads the record.
constexpr std::chrono::milliseconds CopyTimeout{1000};
// Copies of records that were appended after the end was noticed; bounds what invented offsets can take.
constexpr std::int64_t MaximumCopiesAhead = 16;

} // namespace Internal

CopiedRecordStore::CopiedRecordStore(MetadataStore &store, const Clock &clock)
    : m_store(store)
    , m_clock(clock)
{
}

asio::awaitable<TopicReadResult> CopiedRecordStore::read(Topic topic, std::int64_t from, std::chrono::milliseconds wait)
{
    if (topic == Topic::Operators && !isNear()) {
        startMeasurement(co_await asio::this_coro::executor);
    }
    if (topic != Topic::Operators || !m_isFar.value_or(false) || m_isOwner() || from < m_directEnd) {
        co_return co_await m_store.read(topic, from, wait);
    }
    const TopicReadResult result = co_await readTopicEnd(m_store, Topic::Operators, std::min(wait, Internal::NoticeInterval));
    const auto *page = std::get_if<RecordPage>(&result);
    if (page == nullptr || page->end <= from) {
        co_return result;
    }
    co_return co_await readCopies(from, page->end);
}

asio::awaitable<NewestRecordsResult> CopiedRecordStore::readNewest(Topic topic, std::string afterKey)
{
    co_return co_await m_store.readNewest(topic, std::move(afterKey));
}

asio::awaitable<TopicAppendResult> CopiedRecordStore::append(TopicAppend append, std::chrono::milliseconds timeout)
{
    co_return co_await m_store.append(std::move(append), timeout);
}

/// Measures beside the reads, which a store without response would delay. A read's own time says less: it contains the wait.
void CopiedRecordStore::startMeasurement(const asio::any_io_executor &executor)
{
    const TimePoint now = m_clock.now();
    if (m_isMeasuring || now < m_nextMeasurement) {
        return;
    }
    m_isMeasuring = true;
    m_nextMeasurement = now + Internal::DistanceInterval;
    asio::co_spawn(executor, measureDistance(), [this](const std::exception_ptr &exception) {
        logException(exception);
        m_isMeasuring = false;
    });
}

/// The shortest of all round trips decides, because a busy store or processor delays single ones, or all at the start.
asio::awaitable<void> CopiedRecordStore::measureDistance()
{
    Duration shortest = m_shortestRoundTrip;
    std::int64_t end = std::numeric_limits<std::int64_t>::max();
    const int measurements = m_isFar ? 1 : Internal::FirstDistanceMeasurements;
    for (int measurement = 0; measurement < measurements; ++measurement) {
        const TimePoint sentAt = m_clock.now();
        const TopicReadResult result = co_await readTopicEnd(m_store, Topic::OperatorCopies, std::chrono::milliseconds(0));
        const auto *page = std::get_if<RecordPage>(&result);
        if (page == nullptr) {
            co_return;
        }
        shortest = std::min(shortest, m_clock.now() - sentAt);
        end = std::min(end, page->end);
    }
    if (!m_isFar) {
        m_copiesEnd = end;
    }
    setDistance(shortest);
}

void CopiedRecordStore::setDistance(Duration roundTrip)
{
    const bool isFar = roundTrip >= Internal::FarRoundTrip;
    m_shortestRoundTrip = roundTrip;
    if (m_isFar == isFar) {
        return;
    }
    m_isFar = isFar;
    logMessage(LogLevel::Info,
               "copies",
               "distance measured",
               {{"far", isFar}, {"round_trip_us", static_cast<long long>(std::chrono::duration_cast<std::chrono::microseconds>(roundTrip).count())}});
}

/// Returns the records from @p from on whose copies are there, or the records themselves if there is none in time.
asio::awaitable<TopicReadResult> CopiedRecordStore::readCopies(std::int64_t from, std::int64_t end)
{
    const TimePoint noticedAt = m_clock.now();
    m_records.erase(m_records.begin(), m_records.lower_bound(from));
    m_firstWanted = from;
    m_wantedEnd = end + Internal::MaximumCopiesAhead;
    while (!m_records.contains(from) && !m_isOwner()) {
        const Duration left = Internal::CopyTimeout - (m_clock.now() - noticedAt);
        if (left <= Duration::zero() || !co_await receiveCopies(std::chrono::ceil<std::chrono::milliseconds>(left))) {
            break;
        }
    }
    RecordPage page;
    std::int64_t next = from;
    for (auto position = m_records.find(from); position != m_records.end() && position->first == next; ++position) {
        page.records.push_back(position->second);
        ++next;
    }
    if (!page.records.empty()) {
        page.end = std::max(next, end);
        co_return page;
    }
    logMessage(LogLevel::Info, "copies", "copy of a record missing", {{"offset", static_cast<long long>(from)}});
    // Copies are in order: after a missing one the next ones are late too, and each would cost the same wait.
    m_directEnd = end;
    co_return co_await m_store.read(Topic::Operators, from, std::chrono::milliseconds(0));
}

/// Returns false if the copies can't be read.
asio::awaitable<bool> CopiedRecordStore::receiveCopies(std::chrono::milliseconds wait)
{
    const TopicReadResult result = co_await m_store.read(Topic::OperatorCopies, m_copiesEnd, wait);
    if (std::holds_alternative<RecordsExpired>(result)) {
        co_return co_await receiveNewestCopies();
    }
    const auto *page = std::get_if<RecordPage>(&result);
    if (page == nullptr) {
        co_return false;
    }
    for (const KeyedRecord &copy : page->records) {
        m_copiesEnd = copy.offset + 1;
        addCopy(copy);
    }
    co_return true;
}

/// Reads one page, which has room for all keys of the operators; a copy behind it counts as missing.
asio::awaitable<bool> CopiedRecordStore::receiveNewestCopies()
{
    const NewestRecordsResult result = co_await m_store.readNewest(Topic::OperatorCopies, std::string());
    const auto *page = std::get_if<NewestRecordsPage>(&result);
    if (page == nullptr) {
        co_return false;
    }
    m_copiesEnd = page->end;
    for (const KeyedRecord &copy : page->records) {
        addCopy(copy);
    }
    co_return true;
}

void CopiedRecordStore::addCopy(const KeyedRecord &copy)
{
    auto decoded = capture([&] { return decodeRecordCopy(copy); });
    if (KeyedRecord *record = valueOf(decoded)) {
        if (record->offset < m_firstWanted || record->offset >= m_wantedEnd) {
            return;
        }
        m_records[record->offset] = std::move(*record);
        return;
    }
    logMessage(LogLevel::Warning, "copies", "cannot decode copy", {{"key", copy.key}, {"error", errorOf(decoded)->message}});
}

} // namespace Hyssop
