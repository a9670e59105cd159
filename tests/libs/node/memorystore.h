#pragma once

#include <ports/metadatastore.h>

#include <chrono>
#include <map>
#include <optional>

namespace Hyssop::Testing {

class MemoryTopics;

/// Calls of one instance to shared topics. Counts the calls that read.
class MemoryStore : public MetadataStore
{
public:
    /// @p topics must outlive the store.
    explicit MemoryStore(MemoryTopics &topics)
        : m_topics(topics)
    {
    }

    boost::asio::awaitable<TopicReadResult> read(Topic topic, std::int64_t from, std::chrono::milliseconds wait) override;
    boost::asio::awaitable<NewestRecordsResult> readNewest(Topic topic, std::string afterKey) override;
    boost::asio::awaitable<TopicAppendResult> append(TopicAppend append, std::chrono::milliseconds timeout) override;

    int reads(Topic topic) { return m_calls[topic].sent; }
    int mostReadsAtOnce(Topic topic) { return m_calls[topic].mostAtOnce; }
    int workersReadsAtClaim() const { return m_workersReadsAtClaim; }

    std::chrono::milliseconds appendTime{1};
    std::optional<Topic> failingTopic; // reads of this topic fail
    bool losesAppends = false; // appends are rejected
    bool isSilent = false; // calls get no response; those that are open when it responds again fail
    int hangingAppends = 0; // so many of the next appends are lost, and get no response
    int lostAppendResponses = 0; // so many of the next appends are executed, and get no response
    std::map<Topic, int> lostReadResponses; // so many of the next reads of a topic get no response

private:
    struct Calls
    {
        int sent = 0;
        int open = 0;
        int mostAtOnce = 0;
    };

    void beginCall(Topic topic);

    /// Waits while the store is silent, for @p timeout at most.
    boost::asio::awaitable<void> waitWhileSilent(std::chrono::milliseconds timeout);

    MemoryTopics &m_topics;
    std::map<Topic, Calls> m_calls;
    int m_workersReadsAtClaim = -1; // reads of the workers' topic before the response to the first append
};

} // namespace Hyssop::Testing
