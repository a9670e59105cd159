#pragma once

#include "keyedrecord.h"

#include <utils/error.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Hyssop {

/// Records read from an offset on.
struct RecordPage
{
    std::vector<KeyedRecord> records;
    std::int64_t end = 0; // offset that the next record of the topic gets
};

/// The records asked for have expired; the newest record of each key is still there.
struct RecordsExpired
{
};

using TopicReadResult = std::variant<RecordPage, RecordsExpired, Error>;

/// Newest records of some keys. Several pages are not a snapshot.
struct NewestRecordsPage
{
    std::vector<KeyedRecord> records;
    std::int64_t end = 0; // end of the topic when the page was made
    bool more = false;
};

using NewestRecordsResult = std::variant<NewestRecordsPage, Error>;

/// The records are durable; the first has this offset.
struct TopicAppended
{
    std::int64_t offset = 0;
};

/// Not appended: the topic does not end at the expected offset.
struct TopicEndMismatch
{
    std::int64_t end = 0;
};

/// Not appended: the store has seen a higher epoch of the producer, or another order of its appends.
struct ProducerFenced
{
    std::string reason;
};

/// Certainly not appended.
struct TopicAppendRejected
{
    std::string reason;
};

/// Appended or not, now or later.
struct TopicAppendUndetermined
{
    std::string reason;
};

using TopicAppendResult = std::variant<TopicAppended, TopicEndMismatch, ProducerFenced, TopicAppendRejected, TopicAppendUndetermined>;

} // namespace Hyssop
