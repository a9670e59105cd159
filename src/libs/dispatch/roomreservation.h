#pragma once

#include "schedulingkey.h"

#include <ports/taskid.h>
#include <utils/resources.h>

#include <cstdint>

namespace Hyssop {

/// Room on a worker that is kept for a task of a step.
struct RoomReservation
{
    TaskId step; // the task index is unused
    SchedulingKey key; // of the step, without the id of the job
    Resources task; // what the task needs
    std::uint64_t pass = 0; // scheduling pass in which the room was last reserved
};

} // namespace Hyssop
