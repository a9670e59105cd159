#pragma once

#include <ports/storeresults.h>
#include <ports/topic.h>
#include <utils/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace Hyssop {

class MetadataStore;

/// How a follower asks for new records.
struct FollowTiming
{
    std::chrono::milliseconds pause{250}; // between an answer and the next call
    std::chrono::milliseconds wait{1000}; // how long the store may wait for a record before it answers
};

/// Keeps up with a keyed topic: loads the newest record of each key, then reads new records as they come. Loads again when
/// records have expired before they were read.
class TopicFollower
{
public:
    using Apply = std::function<void(const KeyedRecord &)>;
    using Answered = std::function<void(TimePoint sentAt)>;

    TopicFollower(boost::asio::any_io_executor executor, const Clock &clock, MetadataStore &store, Topic topic);

    /// @p apply gets each record, and a removal for each key that has gone while records expired. @p answered is called
    /// after the records of each answer; all records that existed at sentAt have been applied then.
    void setHandlers(Apply apply, Answered answered);

    void setTiming(const FollowTiming &pace) { m_timing = pace; }

    /// Follows the topic until stop().
    boost::asio::awaitable<void> run();
    void stop() { m_stopped = true; }

    bool isLoaded() const { return m_loaded; }

    /// Offset that the next record gets, as far as known.
    std::int64_t end() const { return m_next; }

    /// Returns how long ago the newest answered call was sent.
    Duration age() const;

    /// Returns false if the store has refused this instance, or not answered it, for longer than a hiccup.
    bool isStoreResponsive() const;

private:
    boost::asio::awaitable<bool> load();
    boost::asio::awaitable<void> readNext();
    void removeMissing(const std::set<std::string> &present, std::int64_t offset);
    void applyRecord(const KeyedRecord &record);
    void noteAnswer();
    void noteConfirmed(TimePoint sentAt);
    void noteFailure(const std::string &reason);
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds time) const;

    boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    MetadataStore &m_store;
    Topic m_topic;
    Apply m_apply;
    Answered m_answered;
    FollowTiming m_timing;
    std::set<std::string> m_keys;
    std::int64_t m_next = 0;
    TimePoint m_confirmedAt{};
    bool m_loaded = false;
    TimePoint m_answeredAt{}; // when the newest answer of any content arrived
    std::optional<TimePoint> m_failingSince; // calls have failed since then
    bool m_stopped = false;
};

} // namespace Hyssop
