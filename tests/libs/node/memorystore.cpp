#include "memorystore.h"

#include "memorytopics.h"

#include <support/coroutines.h>

#include <algorithm>

namespace asio = boost::asio;

namespace Hyssop::Testing {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds ReadTime{2};
// Beyond the wait of a read, as the client of the platform's store waits.
constexpr std::chrono::milliseconds ReadTimeout{1500};

asio::awaitable<TopicReadResult> MemoryStore::read(Topic topic, std::int64_t from, std::chrono::milliseconds wait)
{
    beginCall(topic);
    if (isSilent) {
        co_await waitWhileSilent(wait + ReadTimeout);
        --m_calls[topic].open;
        co_return Error{ErrorCode::Timeout, "timeout"};
    }
    if (lostReadResponses[topic] > 0) {
        --lostReadResponses[topic];
        co_await pauseFor(wait + ReadTimeout);
        --m_calls[topic].open;
        co_return Error{ErrorCode::Timeout, "timeout"};
    }
    TopicReadResult result;
    for (std::chrono::milliseconds waited = 0ms;; waited += ReadTime) {
        co_await pauseFor(ReadTime);
        result = m_topics.read(topic, from);
        const auto *page = std::get_if<RecordPage>(&result);
        if (page == nullptr || !page->records.empty() || waited >= wait) {
            break;
        }
    }
    --m_calls[topic].open;
    if (failingTopic == topic) {
        co_return Error{ErrorCode::Unavailable, "down"};
    }
    co_return result;
}

asio::awaitable<NewestRecordsResult> MemoryStore::readNewest(Topic topic, std::string afterKey)
{
    beginCall(topic);
    if (isSilent) {
        co_await waitWhileSilent(ReadTimeout);
        --m_calls[topic].open;
        co_return Error{ErrorCode::Timeout, "timeout"};
    }
    co_await pauseFor(ReadTime);
    --m_calls[topic].open;
    if (failingTopic == topic) {
        co_return Error{ErrorCode::Unavailable, "down"};
    }
    co_return m_topics.newest(topic, afterKey);
}

asio::awaitable<TopicAppendResult> MemoryStore::append(TopicAppend append, std::chrono::milliseconds timeout)
{
    if (isSilent) {
        co_await waitWhileSilent(timeout);
        co_return TopicAppendUndetermined{"timeout"};
    }
    if (hangingAppends > 0) {
        --hangingAppends;
        co_await pauseFor(timeout);
        co_return TopicAppendUndetermined{"timeout"};
    }
    co_await pauseFor(appendTime);
    if (m_workersReadsAtClaim < 0) {
        m_workersReadsAtClaim = m_calls[Topic::Workers].sent;
    }
    if (losesAppends) {
        co_return TopicAppendRejected{"down"};
    }
    TopicAppendResult result = m_topics.append(append);
    if (lostAppendResponses > 0) {
        --lostAppendResponses;
        co_await pauseFor(timeout - appendTime);
        co_return TopicAppendUndetermined{"timeout"};
    }
    co_return result;
}

asio::awaitable<void> MemoryStore::waitWhileSilent(std::chrono::milliseconds timeout)
{
    for (std::chrono::milliseconds waited = 0ms; isSilent && waited < timeout; waited += ReadTime) {
        co_await pauseFor(ReadTime);
    }
}

void MemoryStore::beginCall(Topic topic)
{
    Calls &calls = m_calls[topic];
    ++calls.sent;
    ++calls.open;
    calls.mostAtOnce = std::max(calls.mostAtOnce, calls.open);
}

} // namespace Hyssop::Testing
