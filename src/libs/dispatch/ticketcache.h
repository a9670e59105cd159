#pragma once

#include <ports/adviceservice.h>
#include <ports/taskid.h>
#include <utils/clock.h>

#include <map>
#include <string>

namespace Hyssop {

/// Caches the tickets of the advice service by step and worker.
class TicketCache
{
public:
    /// Returns the valid tickets of the step that @p task belongs to, or a null pointer if there are none.
    const std::map<std::string, std::string> *tickets(const TaskId &task, TimePoint now) const;

    /// Returns true if the advice service is to be asked about the step now, and marks the request as pending.
    bool beginRequest(const TaskId &task, TimePoint now);

    /// Ends the pending request, and stores the tickets of the result.
    void handleResult(const TaskId &step, const AdviceResult &result, TimePoint sentAt, TimePoint now);

    /// Removes a ticket that the worker rejected.
    void discard(const TaskId &task, const std::string &worker);

    void forgetJob(const std::string &jobId);

private:
    struct StepTickets
    {
        std::map<std::string, std::string> byWorker;
        TimePoint validUntil{};
        TimePoint nextRequestAt{};
        bool requestPending = false;
    };

    std::map<TaskId, StepTickets> m_steps; // the task index of the key is 0
};

} // namespace Hyssop
