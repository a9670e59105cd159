#pragma once

#include "keyedrecord.h"

#include <utils/error.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Hyssop {

/// Consecutive records of a topic, starting at the requested offset.
struct RecordPage
{
    std::vector<KeyedRecord> records;
    std::int64_t end = 0; // offset of the next record to be appended to the topic
};

/// The requested records have expired; the newest record of each key is still available.
struct RecordsExpired
{
};

using TopicReadResult = std::variant<RecordPage, RecordsExpired, Error>;

/// Newest records of some keys. Consecutive pages do not form a consistent snapshot.
struct NewestRecordsPage
{
    std::vector<KeyedRecord> records;
    std::int64_t end = 0; // end of the topic at the time of the read
    bool more = false; // there are further keys
};

using NewestRecordsResult = std::variant<NewestRecordsPage, Error>;

/// The records are durable; the first one has this offset.
struct TopicAppended
{
    std::int64_t offset = 0;
};

/// Not appended: the topic does not end at the expected offset.
struct TopicEndMismatch
{
    std::int64_t end = 0;
};

/// Not appended: the store has seen a higher epoch of the producer, or the sequence number is out of order.
struct ProducerFenced
{
    std::string reason;
};

/// Not appended, and will not be appended later.
struct TopicAppendRejected
{
    std::string reason;
};

/// The outcome is unknown: the records may have been appended, or may still be appended later.
struct TopicAppendUndetermined
{
    std::string reason;
};

using TopicAppendResult = std::variant<TopicAppended, TopicEndMismatch, ProducerFenced, TopicAppendRejected, TopicAppendUndetermined>;

} // namespace Hyssop
