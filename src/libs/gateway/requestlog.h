#pragma once

#include "hyssop_types.h"

#include <platform/logclient.h>
#include <utils/clock.h>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <vector>

namespace Hyssop {

/// The request stream of this failure domain, as far as the gateway needs it.
class RequestLog
{
public:
    /// Called for each batch in offset order.
    using BatchHandler = std::function<void(WallTime time, const Wire::RecordBatch &batch)>;

    virtual ~RequestLog() = default;

    virtual void setBatchHandler(BatchHandler handler) = 0;

    /// True once everything up to the head at the start has been handed over.
    virtual bool caughtUp() const = 0;

    /// Appends @p records in one batch.
    virtual boost::asio::awaitable<AppendOutcome> append(std::vector<Wire::Record> records) = 0;
};

} // namespace Hyssop
