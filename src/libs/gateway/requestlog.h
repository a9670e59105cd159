#pragma once

#include "hyssop_types.h"

#include <platform/logclient.h>
#include <utils/clock.h>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <vector>

namespace Hyssop {

/// Interface to the request stream of the gateway's failure domain.
class RequestLog
{
public:
    /// Called for each batch in offset order.
    using BatchHandler = std::function<void(WallTime time, const Wire::RecordBatch &batch)>;

    virtual ~RequestLog() = default;

    virtual void setBatchHandler(BatchHandler handler) = 0;

    /// Returns true once all batches up to the head that the stream had at the start have been passed to the handler.
    virtual bool caughtUp() const = 0;

    /// Appends @p records as one batch.
    virtual boost::asio::awaitable<AppendOutcome> append(std::vector<Wire::Record> records) = 0;
};

} // namespace Hyssop
