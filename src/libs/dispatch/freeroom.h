#pragma once

#include <utils/resources.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Hyssop {

namespace Wire {
class TaskStep;
}

struct WorkerState;

/// Tells whether room for tasks is free, whatever else keeps them from a worker: health, interference, limits, advice. It is a
/// snapshot of the workers that are added.
///
/// Load pattern: the question is asked for hundreds of steps in a row, and a few workers answer it unless there is no room. A step that
/// needs no less than one without room is not searched for again.
class FreeRoom
{
public:
    /// Adds the room of @p worker, which must outlive this object.
    void add(const WorkerState &worker);

    /// Returns the number of tasks of @p step that fit on the workers of @p workerPool together, at most @p maximum. Tasks with reserved
    /// capacity fit where it is not reserved; best-effort tasks only where best-effort runs don't use it either. @p openTasks is the number
    /// of open tasks of the step by worker, which counts if the step limits them.
    std::size_t places(const std::string &workerPool, const Wire::TaskStep &step, const std::map<std::string, int> &openTasks, std::size_t maximum);

    /// Returns true if places() is at least @p count.
    bool hasPlaces(const std::string &workerPool, const Wire::TaskStep &step, const std::map<std::string, int> &openTasks, std::size_t count);

    /// Returns true if less than half of the processor capacity of @p workerPool is reserved.
    bool isLessThanHalfReserved(const std::string &workerPool) const;

    /// Returns the workers of @p workerPool.
    std::vector<const WorkerState *> workers(const std::string &workerPool) const;

private:
    struct Entry
    {
        Resources free;
        const WorkerState *worker = nullptr;
    };

    struct Failure
    {
        std::string label;
        Resources needed;
        std::size_t count = 0;
    };

    /// Room for tasks of one kind.
    struct Room
    {
        std::vector<Entry> entries; // by decreasing free processor capacity; empty until the first question
        std::vector<Failure> failures; // for which too little room was found
    };

    struct Pool
    {
        std::vector<const WorkerState *> workers;
        std::int64_t milliCores = 0;
        std::int64_t freeMilliCores = 0;
        Room reservedRoom;
        Room bestEffortRoom;
    };

    /// Returns the room for tasks of @p step in @p pool.
    static Room &roomFor(Pool &pool, const Wire::TaskStep &step);
    static std::size_t places(const Room &room, const Wire::TaskStep &step, const std::map<std::string, int> &openTasks, std::size_t maximum);

    std::map<std::string, Pool> m_pools; // by worker pool
};

} // namespace Hyssop
