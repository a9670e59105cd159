#include "topicend.h"

#include <ports/metadatastore.h>

#include <cstdint>

namespace Hyssop {

namespace asio = boost::asio;

// No topic gets as many records.
constexpr std::int64_t OffsetBehindEveryEnd = 1'000'000'000;

asio::awaitable<TopicReadResult> readTopicEnd(MetadataStore &store, Topic topic, std::chrono::milliseconds wait)
{
    co_return co_await store.read(topic, OffsetBehindEveryEnd, wait);
}

} // namespace Hyssop
