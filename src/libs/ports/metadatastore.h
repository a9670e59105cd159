#pragma once

#include "storeresults.h"
#include "topic.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace Hyssop {

struct TopicAppend;

/// The platform's store: a log with keyed topics. All calls end within their time limit.
class MetadataStore
{
public:
    virtual ~MetadataStore() = default;

    /// Reads records from @p from on. Waits up to @p wait for the first one.
    virtual boost::asio::awaitable<TopicReadResult> read(Topic topic, std::int64_t from, std::chrono::milliseconds wait) = 0;

    /// Reads the newest record of the keys after @p afterKey (empty: from the first).
    virtual boost::asio::awaitable<NewestRecordsResult> readNewest(Topic topic, std::string afterKey) = 0;

    /// Appends records within @p timeout.
    virtual boost::asio::awaitable<TopicAppendResult> append(TopicAppend append, std::chrono::milliseconds timeout) = 0;
};

} // namespace Hyssop
