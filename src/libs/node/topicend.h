#pragma once

#include <ports/storeresults.h>
#include <ports/topic.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace Hyssop {

class MetadataStore;

/// Reads the end of @p topic after @p wait, without transferring a record.
boost::asio::awaitable<TopicReadResult> readTopicEnd(MetadataStore &store, Topic topic, std::chrono::milliseconds wait);

} // namespace Hyssop
