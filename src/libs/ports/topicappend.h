#pragma once

#include "keyedrecord.h"
#include "topic.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hyssop {

/// Position of an append in the sequence of a producer. The store rejects epochs below the highest one it has seen (fencing),
/// and returns the original result if an append is repeated (idempotent retries).
struct ProducerPosition
{
    std::string producer;
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;
};

/// An atomic append: either all records are appended or none.
struct TopicAppend
{
    Topic topic = Topic::Jobs;
    std::vector<KeyedRecord> records; // offsets are ignored
    std::optional<std::int64_t> expectedEnd; // append only if the topic ends at this offset
    std::optional<ProducerPosition> position;
};

} // namespace Hyssop
