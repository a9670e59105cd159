#pragma once

#include <ports/workercommands.h>
#include <utils/clock.h>

#include <cstdint>
#include <optional>

namespace Hyssop {

/// Polls of a worker that are open. A regular poll renews the lease, and one of them is open at a time. While its response is overdue, or
/// an event makes a report worth while, repeated polls ask for the report without a wait and without a later lease.
struct WorkerPolls
{
    std::uint64_t regular = 0; // number of the open regular poll; 0: none
    int open = 0; // of both kinds, also those that were superseded
    int sentSinceReport = 0; // polls that were sent after the last report
    TimePoint lastSentAt{};
    TimePoint overdueAt{}; // of the open regular poll
    std::optional<WorkerTime> leaseEnd; // granted by the newest regular poll to the current process
    bool isReportRequested = false; // without the wait of the open poll

    bool isRegularOpen() const { return regular != 0; }
};

} // namespace Hyssop
