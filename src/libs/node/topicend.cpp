#include "topicend.h"

#include <ports/metadatastore.h>

#include <cstdint>

namespace Hyssop {

namespace asio = boost::asio;

// A read behind every possible record has a response without records, which only tells the end.
constexpr std::int64_t BeyondEnd = 1'000'000'000;

asio::awaitable<TopicReadResult> readTopicEnd(MetadataStore &store, Topic topic, std::chrono::milliseconds wait)
{
    co_return co_await store.read(topic, BeyondEnd, wait);
}

} // namespace Hyssop
