#include "topicfollower.h"

#include <observability/logging.h>
#include <ports/metadatastore.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <utility>
#include <vector>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds TransientFailureTimeout{300};
// Longer than a read that waits for records plus the interval after it.
constexpr std::chrono::milliseconds ResponseTimeout{1500};

} // namespace Internal

TopicFollower::TopicFollower(const asio::any_io_executor &executor, const Clock &clock, MetadataStore &store, Topic topic)
    : m_timer(executor)
    , m_clock(clock)
    , m_store(store)
    , m_topic(topic)
    , m_backoff(std::random_device()())
{
}

void TopicFollower::setHandlers(RecordHandler onRecord, ReadHandler onRead)
{
    m_recordHandler = std::move(onRecord);
    m_readHandler = std::move(onRead);
}

asio::awaitable<void> TopicFollower::run()
{
    m_stopped = false;
    while (!m_stopped) {
        if (m_paused) {
            co_await waitForResume();
        } else if (m_loaded) {
            co_await readNext();
        } else {
            m_loaded = co_await load();
        }
    }
}

void TopicFollower::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void TopicFollower::pause()
{
    if (m_paused) {
        return;
    }
    m_paused = true;
    ++m_pauses;
    m_loaded = false;
    m_failingSince.reset();
    logMessage(
        LogLevel::Info, "follower", "topic paused", {{"topic", topicName(m_topic)}, {"keys", m_keys.size()}, {"offset", static_cast<long long>(m_next)}});
    removeMissingKeys({}, m_next);
}

void TopicFollower::resume()
{
    if (m_paused) {
        m_paused = false;
        logMessage(LogLevel::Info, "follower", "topic resumed", {{"topic", topicName(m_topic)}});
        m_timer.cancel();
    }
}

Duration TopicFollower::age() const
{
    return m_clock.now() - m_lastConfirmedReadAt;
}

bool TopicFollower::isStoreResponsive() const
{
    const TimePoint now = m_clock.now();
    return m_failingSince ? now - *m_failingSince < Internal::TransientFailureTimeout : now - m_lastResponseAt < Internal::ResponseTimeout;
}

asio::awaitable<bool> TopicFollower::load()
{
    m_truncatedRead.reset();
    std::set<std::string> presentKeys;
    std::string after;
    std::int64_t firstEnd = -1;
    TimePoint sentAt; // of the first page, whose end is the begin of the records to read after the loading
    const int pauses = m_pauses;
    while (true) {
        sentAt = firstEnd < 0 ? m_clock.now() : sentAt;
        NewestRecordsResult result = co_await m_store.readNewest(m_topic, after);
        if (m_stopped || pauses != m_pauses) {
            co_return false;
        }
        const auto *page = std::get_if<NewestRecordsPage>(&result);
        if (page == nullptr) {
            co_await waitAfterFailure(std::get<Error>(result));
            if (m_stopped || pauses != m_pauses) {
                co_return false;
            }
            continue; // with the same page: if records after firstEnd expire meanwhile, the next read reports it
        }
        recordResponse();
        firstEnd = firstEnd < 0 ? page->end : firstEnd;
        for (const KeyedRecord &record : page->records) {
            presentKeys.insert(record.key);
            applyRecord(record);
            after = record.key;
        }
        if (!page->more || page->records.empty()) {
            break;
        }
    }
    removeMissingKeys(presentKeys, firstEnd);
    m_next = firstEnd;
    logMessage(
        LogLevel::Info, "follower", "topic loaded", {{"topic", topicName(m_topic)}, {"keys", presentKeys.size()}, {"offset", static_cast<long long>(m_next)}});
    confirmRead(sentAt);
    co_return pauses == m_pauses;
}

asio::awaitable<void> TopicFollower::readNext()
{
    const TimePoint sentAt = m_clock.now();
    const int pauses = m_pauses;
    const TopicReadResult result = co_await m_store.read(m_topic, m_next, m_timing.maximumWait);
    if (m_stopped || pauses != m_pauses) {
        co_return;
    }
    if (const auto *error = std::get_if<Error>(&result)) {
        co_await waitAfterFailure(*error);
        co_return;
    }
    recordResponse();
    if (std::holds_alternative<RecordsExpired>(result)) {
        m_loaded = false;
        co_return;
    }
    const auto &page = std::get<RecordPage>(result);
    for (const KeyedRecord &record : page.records) {
        applyRecord(record);
        m_next = record.offset + 1;
    }
    if (m_next < page.end && !page.records.empty()) {
        confirmTruncatedRead();
        if (!m_truncatedRead) {
            m_truncatedRead = TruncatedRead{sentAt, page.end};
        }
        co_return; // later records may supersede those read so far
    }
    m_truncatedRead.reset();
    confirmRead(sentAt);
    co_await sleep(m_timing.interval);
}

void TopicFollower::removeMissingKeys(const std::set<std::string> &presentKeys, std::int64_t offset)
{
    std::vector<std::string> missingKeys;
    for (const std::string &key : m_keys) {
        if (!presentKeys.contains(key)) {
            missingKeys.push_back(key);
        }
    }
    for (const std::string &key : missingKeys) {
        applyRecord({offset, key, std::nullopt});
    }
}

void TopicFollower::applyRecord(const KeyedRecord &record)
{
    if (record.value) {
        m_keys.insert(record.key);
    } else {
        m_keys.erase(record.key);
    }
    try {
        m_recordHandler(record);
    } catch (const std::exception &error) {
        // Reading the same record again would fail again, and the records after it must be applied.
        logMessage(LogLevel::Error,
                   "follower",
                   "cannot apply record",
                   {{"topic", topicName(m_topic)},
                    {"key", record.key},
                    {"offset", static_cast<long long>(record.offset)},
                    {"bytes", record.value ? record.value->size() : 0},
                    {"error", error.what()}});
    }
}

void TopicFollower::recordResponse()
{
    m_lastResponseAt = m_clock.now();
    m_backoff.reset();
    if (m_failingSince) {
        m_failingSince.reset();
        logMessage(LogLevel::Info, "follower", "store reachable again", {{"topic", topicName(m_topic)}});
    }
}

void TopicFollower::confirmRead(TimePoint sentAt)
{
    m_lastConfirmedReadAt = sentAt;
    m_readHandler(sentAt);
}

void TopicFollower::confirmTruncatedRead()
{
    if (m_truncatedRead && m_next >= m_truncatedRead->end) {
        confirmRead(m_truncatedRead->sentAt);
        m_truncatedRead.reset();
    }
}

asio::awaitable<void> TopicFollower::waitAfterFailure(Error error)
{
    if (!m_failingSince) {
        m_failingSince = m_clock.now();
        logMessage(LogLevel::Warning, "follower", "store not reachable", {{"topic", topicName(m_topic)}, {"error", error.message}});
    }
    co_await sleep(m_backoff.next(error.code));
}

asio::awaitable<void> TopicFollower::sleep(std::chrono::milliseconds time)
{
    if (time.count() > 0) {
        m_timer.expires_after(time);
        co_await m_timer.async_wait(Internal::AsTuple);
    }
}

asio::awaitable<void> TopicFollower::waitForResume()
{
    m_timer.expires_at(asio::steady_timer::time_point::max());
    co_await m_timer.async_wait(Internal::AsTuple);
}

} // namespace Hyssop
