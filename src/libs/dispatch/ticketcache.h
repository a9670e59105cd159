#pragma once

#include <ports/adviceservice.h>
#include <ports/taskid.h>
#include <utils/clock.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Hyssop {

/// What the advice service has said of each step: which workers may run it, and the tickets for these. Decides which workers the
/// service is asked about next.
///
/// Load pattern: the policy allows a few of many workers, and those have less free capacity than most. The service is asked about a
/// bounded number of workers at a time, so a worker that it has excluded is not named again.
class TicketCache
{
public:
    /// Returns the valid tickets of the step that @p task belongs to, or a null pointer if there are none.
    const std::map<std::string, std::string> *tickets(const TaskId &task, TimePoint now);

    /// Returns true if no request about the step is pending or was made just before.
    bool canRequest(const TaskId &task, TimePoint now) const;

    /// Returns the workers that the advice service is to be asked about now, and marks a request as pending unless there are none.
    /// @p candidates are the ids of the workers that could run the step, the preferred ones first.
    std::vector<std::string> beginRequest(const TaskId &task, const std::vector<std::string> &candidates, TimePoint now);

    /// Ends the pending request about the workers @p asked, and stores its result.
    void handleResult(const TaskId &step, const std::vector<std::string> &asked, const AdviceResult &result, TimePoint sentAt, TimePoint now);

    /// Removes a ticket that the worker rejected.
    void discard(const TaskId &task, const std::string &worker, TimePoint now);

    void forgetJob(const std::string &jobId);

private:
    struct StepTickets
    {
        std::map<std::string, std::string> byWorker;
        std::map<std::string, TimePoint> validUntil; // of each ticket
        std::set<std::string> allowed; // workers that may run the step, also those whose ticket is not valid any more
        std::set<std::string> excluded; // workers that may not run it, which doesn't change
        TimePoint nextRequestAt{};
        bool requestPending = false;
    };

    static void removeExpired(StepTickets &step, TimePoint now);

    std::map<TaskId, StepTickets> m_steps; // the task index of the key is 0
};

} // namespace Hyssop
