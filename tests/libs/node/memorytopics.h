#pragma once

#include <ports/storeresults.h>
#include <ports/topic.h>
#include <ports/topicappend.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Hyssop::Testing {

/// Topics in memory that several instances share. Accepts one first append for each epoch of a producer, like the platform's store.
class MemoryTopics
{
public:
    TopicAppendResult append(const TopicAppend &append);
    void put(Topic topic, const std::string &key, std::optional<std::string> value);

    /// Drops the history of @p topic; the newest record of each key stays available.
    void dropHistory(Topic topic);

    TopicReadResult read(Topic topic, std::int64_t from) const;
    NewestRecordsPage newest(Topic topic, const std::string &afterKey) const;

private:
    struct Producer
    {
        std::int64_t epoch = 0;
        std::int64_t nextSequence = 0;
        std::map<std::int64_t, TopicAppendResult> results; // by sequence number
    };

    std::map<Topic, std::vector<KeyedRecord>> m_records;
    std::map<Topic, std::int64_t> m_first;
    std::map<std::pair<Topic, std::string>, Producer> m_producers; // positions apply to one topic
};

} // namespace Hyssop::Testing
