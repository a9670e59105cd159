#include "topicfollower.h"

#include <observability/logging.h>
#include <ports/metadatastore.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <utility>
#include <vector>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr std::chrono::milliseconds RetryDelay{250};
constexpr std::chrono::milliseconds TransientFailureTimeout{300};
// Longer than a read that waits for records plus the interval after it.
constexpr std::chrono::milliseconds ResponseTimeout{1500};

static const char *topicName(Topic topic)
{
    switch (topic) {
    case Topic::Jobs:
        return "jobs";
    case Topic::Operators:
        return "operators";
    case Topic::Workers:
        return "workers";
    case Topic::Status:
        return "status";
    }
    return "unknown";
}

} // namespace Internal

TopicFollower::TopicFollower(asio::any_io_executor executor, const Clock &clock, MetadataStore &store, Topic topic)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_store(store)
    , m_topic(topic)
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
        if (!m_loaded) {
            m_loaded = co_await load();
            if (!m_loaded) {
                co_await sleep(Internal::RetryDelay);
            }
            continue;
        }
        co_await readNext();
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
    std::set<std::string> presentKeys;
    std::string after;
    std::int64_t firstEnd = -1;
    const TimePoint sentAt = m_clock.now();
    while (true) {
        NewestRecordsResult result = co_await m_store.readNewest(m_topic, after);
        const auto *page = std::get_if<NewestRecordsPage>(&result);
        if (page == nullptr) {
            recordFailure(std::get<Error>(result).message);
            co_return false;
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
    logMessage(LogLevel::Info,
               "follower",
               "topic loaded",
               {{"topic", Internal::topicName(m_topic)}, {"keys", presentKeys.size()}, {"offset", static_cast<long long>(m_next)}});
    confirmRead(sentAt);
    co_return true;
}

asio::awaitable<void> TopicFollower::readNext()
{
    const TimePoint sentAt = m_clock.now();
    const TopicReadResult result = co_await m_store.read(m_topic, m_next, m_timing.maximumWait);
    if (m_stopped) {
        co_return;
    }
    if (const auto *error = std::get_if<Error>(&result)) {
        recordFailure(error->message);
        co_await sleep(Internal::RetryDelay);
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
        co_return; // the response was truncated: later records may supersede those read so far
    }
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
                   {{"topic", Internal::topicName(m_topic)},
                    {"key", record.key},
                    {"offset", static_cast<long long>(record.offset)},
                    {"bytes", record.value ? record.value->size() : 0},
                    {"error", error.what()}});
    }
}

void TopicFollower::recordResponse()
{
    m_lastResponseAt = m_clock.now();
    if (m_failingSince) {
        m_failingSince.reset();
        logMessage(LogLevel::Info, "follower", "store reachable again", {{"topic", Internal::topicName(m_topic)}});
    }
}

void TopicFollower::confirmRead(TimePoint sentAt)
{
    m_lastConfirmedReadAt = sentAt;
    m_readHandler(sentAt);
}

void TopicFollower::recordFailure(const std::string &reason)
{
    if (!m_failingSince) {
        m_failingSince = m_clock.now();
        logMessage(LogLevel::Warning, "follower", "store not reachable", {{"topic", Internal::topicName(m_topic)}, {"error", reason}});
    }
}

asio::awaitable<void> TopicFollower::sleep(std::chrono::milliseconds time) const
{
    if (time.count() > 0) {
        asio::steady_timer timer(m_executor, time);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace Hyssop
