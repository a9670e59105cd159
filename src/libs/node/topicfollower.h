#pragma once

#include "retrybackoff.h"

#include <ports/storeresults.h>
#include <ports/topic.h>
#include <utils/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace Hyssop {

class MetadataStore;

/// Timing of the reads of a follower.
struct FollowTiming
{
    std::chrono::milliseconds interval{250}; // between a response and the next read
    std::chrono::milliseconds maximumWait{1000}; // how long the store may wait for a record before it responds (long poll)
};

/// Follows a topic that is compacted by key: loads the newest record of each key, then reads new records continuously. Reloads
/// the topic if records expired before they were read.
class TopicFollower
{
public:
    using RecordHandler = std::function<void(const KeyedRecord &)>;
    using ReadHandler = std::function<void(TimePoint sentAt)>;

    TopicFollower(const boost::asio::any_io_executor &executor, const Clock &clock, MetadataStore &store, Topic topic);

    /// @p onRecord is called for each record, and with a tombstone for each key that was found missing after a reload. @p onRead is
    /// called after the records of a complete read; all records that existed at sentAt have been applied by then. A
    /// record for which @p onRecord throws is logged and skipped.
    void setHandlers(RecordHandler onRecord, ReadHandler onRead);

    void setTiming(const FollowTiming &timing) { m_timing = timing; }

    /// Follows the topic until stop().
    boost::asio::awaitable<void> run();
    void stop();

    /// Stops reading and calls the record handler with a tombstone for each known key. The response to a call that was sent
    /// before is discarded. Has no effect while paused.
    void pause();

    /// Loads the topic again and follows it, after the call that was sent before pause() has completed. Has no effect unless
    /// paused.
    void resume();

    bool isLoaded() const { return m_loaded; }

    /// Returns the offset after the last record that was read.
    std::int64_t end() const { return m_next; }

    /// Returns the time since the last confirmed read was sent.
    Duration age() const;

    /// Returns false if calls to the store have failed or received no response for longer than a transient failure lasts.
    bool isStoreResponsive() const;

private:
    /// A read whose response did not contain all records that existed when it was sent.
    struct TruncatedRead
    {
        TimePoint sentAt{};
        std::int64_t end = 0; // of the topic then
    };

    boost::asio::awaitable<bool> load();
    boost::asio::awaitable<void> readNext();
    void removeMissingKeys(const std::set<std::string> &presentKeys, std::int64_t offset);
    void applyRecord(const KeyedRecord &record);
    void recordResponse();
    void confirmRead(TimePoint sentAt);
    void confirmTruncatedRead();
    boost::asio::awaitable<void> waitAfterFailure(Error error);
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds time);
    boost::asio::awaitable<void> waitForResume();

    boost::asio::steady_timer m_timer; // of the only wait of run(); resume() and stop() end it early
    const Clock &m_clock;
    MetadataStore &m_store;
    Topic m_topic;
    RecordHandler m_recordHandler;
    ReadHandler m_readHandler;
    FollowTiming m_timing;
    std::set<std::string> m_keys;
    std::int64_t m_next = 0;
    std::optional<TruncatedRead> m_truncatedRead; // the oldest one that is not confirmed
    TimePoint m_lastConfirmedReadAt{};
    bool m_loaded = false;
    TimePoint m_lastResponseAt{}; // arrival of the last response that was not an error
    std::optional<TimePoint> m_failingSince; // time of the first of the current series of failed calls
    RetryBackoff m_backoff;
    bool m_stopped = false;
    bool m_paused = false;
    int m_pauses = 0; // responses to calls that were sent before the last pause are discarded
};

} // namespace Hyssop
