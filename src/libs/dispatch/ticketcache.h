#pragma once

#include "advicewindow.h"

#include <ports/adviceservice.h>
#include <ports/clusterconfig.h>
#include <ports/taskid.h>
#include <utils/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hyssop {

struct AdviceCandidate;
struct RequestAdvice;

/// What the advice service has said of each step: which workers may run it, and the tickets for these. Decides which workers the
/// service is asked about next.
///
/// Load pattern: the policy allows a few of many workers, and those have less free capacity than most. The service is asked about a
/// bounded number of workers at a time, so a worker that it has excluded is not named again. More steps may wait than the service handles, and
/// some of them for room: a request after which a task can start goes before one that only keeps tickets valid.
///
/// Invariant: the tickets of each decision are tried, however long the service has taken.
class TicketCache
{
public:
    /// Must be called regularly. What arrives between two calls arrived after the first of them.
    void handleTick(TimePoint now) { m_tickAt = now; }

    /// Returns the valid tickets of the step that @p task belongs to, or a null pointer if there are none.
    const std::map<std::string, std::string> *tickets(const TaskId &task, TimePoint now);

    /// Returns the ticket for a start of @p task on @p worker, or an empty string if it is not valid any more.
    std::string takeTicket(const TaskId &task, const std::string &worker, TimePoint now);

    /// Returns true if the service can be asked, no request about the step was made just before, and none is pending whose response can still be
    /// expected. A request whose response is overdue can be repeated; a repetition of it only if the response proves to be lost.
    bool canRequest(const TaskId &task, TimePoint now) const;

    /// Returns the request to send now, if any. @p candidates are the workers that could run the step, the preferred ones first. @p service
    /// tells how long the service takes.
    std::optional<RequestAdvice>
    beginRequest(const TaskId &task, const std::vector<AdviceCandidate> &candidates, TimePoint now, const AdviceParameters &service = {});

    /// Ends @p request, which was sent at @p sentAt, and stores its result if the step @p isWaiting still. Returns the number of tickets that
    /// can be used.
    std::size_t handleResult(const RequestAdvice &request, const AdviceResult &result, bool isWaiting, TimePoint sentAt, TimePoint now);

    /// Removes a ticket that the worker rejected.
    void discard(const TaskId &task, const std::string &worker, TimePoint now);

    void forgetJob(const std::string &jobId);

    /// Forgets all steps and requests. A response to one of these requests is not taken for that to a later one.
    void clear();

private:
    struct StepTickets
    {
        std::map<std::string, std::string> byWorker;
        std::map<std::string, TimePoint> validUntil; // of each ticket
        std::set<std::string> allowed; // workers that may run the step, also those whose ticket is not valid any more
        std::set<std::string> excluded; // workers that may not run it, which doesn't change
        TimePoint nextRequestAt{};
        std::vector<std::int64_t> pending; // numbers of the requests without a response
        int failures = 0; // of requests since the last decision
        int unusedDecisions = 0; // that brought tickets, since the last start with a ticket
    };

    bool admits(const StepTickets &step, bool hasRoom);
    TimePoint endRequest(const RequestAdvice &request, const AdviceResult &result, TimePoint sentAt, TimePoint now);
    TimePoint ticketsEnd(const PlacementAdvice &advice, TimePoint decidedAt, TimePoint now) const;
    static void storeTickets(StepTickets &step, const std::vector<std::string> &asked, const PlacementAdvice &advice, TimePoint usableUntil);
    static void removeExpired(StepTickets &step, TimePoint now);

    std::map<TaskId, StepTickets> m_steps; // the task index of the key is 0
    AdviceWindow m_window;
    TimePoint m_tickAt{};
    int m_requestsWithRoom = 0; // in a row, after which a task could start
};

} // namespace Hyssop
