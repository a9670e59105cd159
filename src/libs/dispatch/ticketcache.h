#pragma once

#include <ports/adviceservice.h>
#include <ports/clusterconfig.h>
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

    /// Returns true if no request about the step was made just before, and none is pending whose response can still be expected. A request
    /// whose response is overdue can be repeated once while it is pending.
    bool canRequest(const TaskId &task, TimePoint now) const;

    /// Returns the workers that the advice service is to be asked about now, and marks a request as pending unless there are none.
    /// @p candidates are the ids of the workers that could run the step, the preferred ones first. @p service tells how long the service takes.
    std::vector<std::string> beginRequest(const TaskId &task, const std::vector<std::string> &candidates, TimePoint now, const AdviceParameters &service = {});

    /// Ends the pending request that was sent at @p sentAt about the workers @p asked, and stores its result.
    void handleResult(const TaskId &step, const std::vector<std::string> &asked, const AdviceResult &result, TimePoint sentAt, TimePoint now);

    /// Removes a ticket that the worker rejected.
    void discard(const TaskId &task, const std::string &worker, TimePoint now);

    void forgetJob(const std::string &jobId);

private:
    struct PendingRequest
    {
        TimePoint beganAt{};
        TimePoint expectedAt{}; // time of the response
    };

    struct StepTickets
    {
        std::map<std::string, std::string> byWorker;
        std::map<std::string, TimePoint> validUntil; // of each ticket
        std::set<std::string> allowed; // workers that may run the step, also those whose ticket is not valid any more
        std::set<std::string> excluded; // workers that may not run it, which doesn't change
        TimePoint nextRequestAt{};
        std::vector<PendingRequest> pending; // in the order in which they were sent
    };

    bool isOverdue(const PendingRequest &request, TimePoint now) const;
    bool hasRoomForRepetition() const;
    TimePoint expectResponse(std::size_t workers, TimePoint now, const AdviceParameters &service);
    void endRequest(StepTickets &step, const AdviceResult &result, TimePoint sentAt, TimePoint now);
    static void storeTickets(StepTickets &step, const std::vector<std::string> &asked, const PlacementAdvice &advice, TimePoint sentAt);
    static void removeExpired(StepTickets &step, TimePoint now);

    std::map<TaskId, StepTickets> m_steps; // the task index of the key is 0
    TimePoint m_serviceBusyUntil{}; // the service handles the requests of an instance one at a time
    Duration m_lateness{0}; // of recent responses, beyond the expected time
};

} // namespace Hyssop
