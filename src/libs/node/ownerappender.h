#pragma once

#include "appendtimeoutpolicy.h"

#include <ports/keyedrecord.h>
#include <ports/storeresults.h>
#include <ports/topic.h>
#include <utils/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Hyssop {

class MetadataStore;
class MetricsRegistry;
struct ProducerPosition;
struct TopicAppend;

/// Appends records of the owner to a topic, one append at a time, under the producer position of its term. An append without a response, or
/// whose outcome is unknown, is repeated with the same position, which the store executes only once; the first conclusive response counts.
class OwnerAppender
{
public:
    /// Name of the producer for all appends of owners, claims included.
    static constexpr const char *ProducerName = "owner";

    /// Called with the result of an append, unless its term has ended. A result is neither TopicAppendRejected nor
    /// TopicAppendUndetermined. The append was executed after @p sentAt.
    using ResultHandler = std::function<void(const TopicAppendResult &result, TimePoint sentAt)>;

    OwnerAppender(boost::asio::any_io_executor executor, const Clock &clock, MetadataStore &store, MetricsRegistry &metrics, Topic topic);

    /// Begins a term, whose next append has the number @p nextSequence.
    void beginTerm(std::int64_t term, std::int64_t nextSequence);

    /// Ends the term. Appends that have not been sent are dropped, and the results of others are ignored.
    void endTerm() { m_term.reset(); }

    /// Appends @p records after the append in flight.
    void append(std::vector<KeyedRecord> records, ResultHandler onResult);

    bool isAppending() const { return m_appending; }

    /// Returns the position of the next append of the term.
    ProducerPosition position() const;

    /// Returns when the last append of the term was acknowledged, or the begin of the term.
    TimePoint lastAppend() const { return m_lastAppend; }

    /// Returns since when the store has acknowledged the appends of the term without a long pause; at the earliest the begin of the term.
    TimePoint respondingSince() const { return m_respondingSince; }

    /// Returns when the newest records of the term became visible to others at the earliest: a repeated append may have been executed by its
    /// first attempt.
    TimePoint lastRecord() const { return m_lastRecord; }

private:
    struct Attempts;

    boost::asio::awaitable<void> appendWithRetries(std::vector<KeyedRecord> records, ResultHandler onResult, std::int64_t term);
    void sendAttempt(const std::shared_ptr<Attempts> &attempts);
    boost::asio::awaitable<void> receiveResult(std::shared_ptr<Attempts> attempts, TopicAppend append, TimePoint sentAt);
    void finish(const Attempts &attempts, const ResultHandler &onResult);

    boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    MetadataStore &m_store;
    MetricsRegistry &m_metrics;
    Topic m_topic;
    std::optional<std::int64_t> m_term; // none: not the owner
    std::int64_t m_sequence = 0; // of the next append
    TimePoint m_lastAppend{};
    TimePoint m_respondingSince{};
    TimePoint m_lastRecord{};
    bool m_appending = false;
    AppendTimeoutPolicy m_timeouts;
};

} // namespace Hyssop
