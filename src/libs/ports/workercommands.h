#pragma once

#include "taskid.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Hyssop {

/// Time on a worker's own steady clock.
using WorkerTime = std::chrono::milliseconds;

/// Addressee of an order.
struct WorkerAddress
{
    std::string id; // the worker answers only if this is its id
    std::string address; // IP-ADDRESS:PORT
};

/// Starts a run of a task.
struct StartCommand
{
    WorkerAddress worker;
    TaskId task;
    int run = 0;
    std::string payload;
    std::string checkpoint; // empty: from the beginning
    std::string ticket; // of the advice service; empty: none
    std::int64_t fencingToken = 0;
    WorkerTime leaseEnd{0}; // the order is refused after this time
};

/// Stops a run, and prevents it if it has not begun.
struct StopCommand
{
    WorkerAddress worker;
    TaskId task;
    int run = 0;
    std::int64_t fencingToken = 0;
};

/// Sets the share of the time that a running task works.
struct ThrottleCommand
{
    WorkerAddress worker;
    TaskId task;
    int run = 0;
    int speedPercent = 100;
    std::int64_t fencingToken = 0;
};

/// Renews the lease of everything on a worker and asks for its runs.
struct PollCommand
{
    WorkerAddress worker;
    std::int64_t fencingToken = 0;
    std::int64_t acknowledgedSequence = 0; // the worker may forget ends up to this number
    std::optional<WorkerTime> leaseEnd; // none: the lease stays as it is
    std::chrono::milliseconds wait{0}; // how long the worker may wait for an end before it answers
};

} // namespace Hyssop
