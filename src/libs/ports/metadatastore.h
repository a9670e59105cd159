#pragma once

#include "storeresults.h"
#include "topic.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace Hyssop {

struct TopicAppend;

/// Interface of the platform's metadata store, a log whose topics are compacted by key. Every call completes: an append
/// within its timeout, a read when the store does not respond or its response makes no progress.
class MetadataStore
{
public:
    virtual ~MetadataStore() = default;

    /// Reads records, starting at offset @p from. Waits up to @p wait for the first record.
    virtual boost::asio::awaitable<TopicReadResult> read(Topic topic, std::int64_t from, std::chrono::milliseconds wait) = 0;

    /// Reads the newest record of each key that sorts after @p afterKey (empty: of all keys), one page per call.
    virtual boost::asio::awaitable<NewestRecordsResult> readNewest(Topic topic, std::string afterKey) = 0;

    /// Appends records within @p timeout.
    virtual boost::asio::awaitable<TopicAppendResult> append(TopicAppend append, std::chrono::milliseconds timeout) = 0;
};

} // namespace Hyssop
