#pragma once

#include <ports/storeresults.h>
#include <ports/topic.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace Hyssop {

class MetadataStore;

/// Reads the end of @p topic without transferring a record, after @p wait or earlier. Relies on a store that accepts a read behind the
/// end of a topic: it waits for records there, of which there are none, and then returns the end as it is at that time.
boost::asio::awaitable<TopicReadResult> readTopicEnd(MetadataStore &store, Topic topic, std::chrono::milliseconds wait);

} // namespace Hyssop
