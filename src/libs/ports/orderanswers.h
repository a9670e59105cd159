#pragma once

#include "orders.h"

#include <string>
#include <variant>
#include <vector>

namespace Hyssop {

/// The order is carried out.
struct OrderDone
{
    WorkerTime clock{0};
};

enum class OrderRefusal {
    Fenced, // the worker has seen a higher fencing token
    Superseded, // this run or a higher one was there before
    Expired, // the lease end of the order has passed
    NoRoom,
    NoTicket,
    Invalid, // the worker does not understand the order
    Unhealthy, // the worker can't start anything now
    OtherWorker, // another worker lives at this address
};

/// The order was not carried out and will not be.
struct OrderRefused
{
    OrderRefusal reason = OrderRefusal::Invalid;
    std::string detail;
};

/// Nothing reached the worker.
struct OrderUnsent
{
    std::string reason;
};

/// The order may be carried out now or later.
struct OrderUnknown
{
    std::string reason;
};

using OrderAnswer = std::variant<OrderDone, OrderRefused, OrderUnsent, OrderUnknown>;

enum class RunEnding {
    Done,
    Failed,
    Stopped,
    LeaseLapsed,
    PeerEnded, // another task of the gang ended
    PeersMissing, // the other tasks of the gang did not come in time
};

/// A run that a worker lists as present.
struct ListedRun
{
    TaskId task;
    int run = 0;
    std::string checkpoint;
    int percent = 0; // progress; of a serving task 100: it serves at full pace
    double load = 0; // serving task: tail of the response times in ms; other tasks: thousandths of a core in use
};

/// A run that a worker lists as ended.
struct ListedEnd
{
    std::int64_t number = 0; // counts the ends in one life of the worker, from 1
    TaskId task;
    int run = 0;
    RunEnding ending = RunEnding::Failed;
    std::string checkpoint;
};

/// Answer to a poll.
struct WorkerListing
{
    WorkerTime clock{0};
    std::chrono::milliseconds bornAt{0}; // Unix time of the worker's start; 0: not told
    std::vector<ListedRun> runs;
    std::vector<ListedEnd> ends;
};

using PollAnswer = std::variant<WorkerListing, OrderRefused, OrderUnsent, OrderUnknown>;

} // namespace Hyssop
