#pragma once

#include "workerchange.h"

#include <utils/clock.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Hyssop {

/// Writes log lines about changes of workers. The first change of a kind and cause is written immediately; those that follow within
/// a short time are combined into one line, which is written earlier when it is full or when one of its workers changes again. Each
/// change is in exactly one line, and the lines about a worker are in the order of its changes.
class WorkerEventLog
{
public:
    /// Takes a change.
    void add(const WorkerEvent &event, TimePoint now);

    /// Writes the combined lines that are due.
    void writeDue(TimePoint now);

    /// Writes all combined lines.
    void writeAll(TimePoint now);

private:
    using GroupKey = std::pair<std::string, std::string>; // message, cause

    struct Group
    {
        TimePoint lastLineAt{};
        TimePoint since{}; // first of the changes
        std::vector<WorkerChange> changes; // not written yet
    };

    static void write(Group &group, TimePoint now);

    /// Writes the line that names @p worker, so that its next change is in a later one.
    void writeChangeOf(const std::string &worker, TimePoint now);
    Group &groupOf(const GroupKey &key, TimePoint now);

    std::map<GroupKey, Group> m_groups;
};

} // namespace Hyssop
