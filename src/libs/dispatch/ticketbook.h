#pragma once

#include <ports/adviceservice.h>
#include <ports/taskid.h>
#include <utils/clock.h>

#include <map>
#include <string>

namespace Hyssop {

/// Tickets of the advice service, by step and worker.
class TicketBook
{
public:
    /// Returns the valid tickets of the step that @p task belongs to, or a null pointer if there are none.
    const std::map<std::string, std::string> *tickets(const TaskId &task, TimePoint now) const;

    /// Returns true if the advice service should be asked about the step now, and notes that it is.
    bool beginAsking(const TaskId &task, TimePoint now);

    void answered(const TaskId &step, const AdviceResult &answer, TimePoint askedAt, TimePoint now);

    /// The worker refused the ticket.
    void drop(const TaskId &task, const std::string &worker);

    void forgetJob(const std::string &jobId);

private:
    struct StepTickets
    {
        std::map<std::string, std::string> byWorker;
        TimePoint validUntil{};
        TimePoint nextAsk{};
        bool asking = false;
    };

    std::map<TaskId, StepTickets> m_steps; // the index is 0
};

} // namespace Hyssop
