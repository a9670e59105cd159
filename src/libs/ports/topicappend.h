#pragma once

#include "keyedrecord.h"
#include "topic.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hyssop {

/// Position of an append in the sequence of one producer. The store refuses a lower epoch than the highest it has seen,
/// and answers a repeated append with its first answer.
struct ProducerPosition
{
    std::string producer;
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;
};

/// One append: all records or none.
struct TopicAppend
{
    Topic topic = Topic::Jobs;
    std::vector<KeyedRecord> records; // offsets are ignored
    std::optional<std::int64_t> expectedEnd; // append only if the topic ends here
    std::optional<ProducerPosition> position;
};

} // namespace Hyssop
