#include "memorytopics.h"

namespace Hyssop::Testing {

constexpr std::size_t RecordsPerPage = 2;

TopicAppendResult MemoryTopics::append(const TopicAppend &append)
{
    if (append.position) {
        Producer &producer = m_producers[{append.topic, append.position->producer}];
        if (append.position->epoch > producer.epoch) {
            producer = {append.position->epoch, 0, {}};
        }
        const auto first = producer.results.find(append.position->sequence);
        if (append.position->epoch == producer.epoch && first != producer.results.end()) {
            return first->second; // a repeated append
        }
        if (append.position->epoch < producer.epoch || append.position->sequence != producer.nextSequence) {
            return ProducerFenced{"epoch or sequence"};
        }
        ++producer.nextSequence;
    }
    const auto offset = static_cast<std::int64_t>(m_records[append.topic].size());
    for (const KeyedRecord &record : append.records) {
        put(append.topic, record.key, record.value);
    }
    if (append.position) {
        m_producers[{append.topic, append.position->producer}].results[append.position->sequence] = TopicAppended{offset};
    }
    return TopicAppended{offset};
}

void MemoryTopics::put(Topic topic, const std::string &key, std::optional<std::string> value)
{
    std::vector<KeyedRecord> &records = m_records[topic];
    records.push_back({static_cast<std::int64_t>(records.size()), key, std::move(value)});
}

void MemoryTopics::dropHistory(Topic topic)
{
    m_first[topic] = static_cast<std::int64_t>(m_records[topic].size());
}

TopicReadResult MemoryTopics::read(Topic topic, std::int64_t from) const
{
    const auto first = m_first.find(topic);
    if (first != m_first.end() && from < first->second) {
        return RecordsExpired{};
    }
    RecordPage page;
    const auto records = m_records.find(topic);
    if (records != m_records.end()) {
        page.end = static_cast<std::int64_t>(records->second.size());
        for (std::int64_t offset = from; offset < page.end && page.records.size() < RecordsPerPage; ++offset) {
            page.records.push_back(records->second[static_cast<std::size_t>(offset)]);
        }
    }
    return page;
}

NewestRecordsPage MemoryTopics::newest(Topic topic, const std::string &afterKey) const
{
    NewestRecordsPage page;
    std::map<std::string, KeyedRecord> newestByKey;
    const auto records = m_records.find(topic);
    if (records != m_records.end()) {
        page.end = static_cast<std::int64_t>(records->second.size());
        for (const KeyedRecord &record : records->second) {
            newestByKey[record.key] = record;
        }
    }
    for (const auto &[key, record] : newestByKey) {
        if (key <= afterKey || !record.value) {
            continue;
        }
        if (page.records.size() == RecordsPerPage) {
            page.more = true;
            break;
        }
        page.records.push_back(record);
    }
    return page;
}

} // namespace Hyssop::Testing
