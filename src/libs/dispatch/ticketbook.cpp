#include "ticketbook.h"

#include <utils/result.h>

namespace Hyssop {

namespace Internal {

// A ticket is used only while this much of its time is left.
constexpr std::chrono::milliseconds TicketMargin{300};
constexpr std::chrono::milliseconds AskInterval{500};

static TaskId stepKey(TaskId task)
{
    task.index = 0;
    return task;
}

} // namespace Internal

const std::map<std::string, std::string> *TicketBook::tickets(const TaskId &task, TimePoint now) const
{
    const auto step = m_steps.find(Internal::stepKey(task));
    if (step == m_steps.end() || step->second.byWorker.empty() || now >= step->second.validUntil) {
        return nullptr;
    }
    return &step->second.byWorker;
}

bool TicketBook::beginAsking(const TaskId &task, TimePoint now)
{
    StepTickets &step = m_steps[Internal::stepKey(task)];
    if (step.asking || now < step.nextAsk) {
        return false;
    }
    step.asking = true;
    return true;
}

void TicketBook::answered(const TaskId &step, const AdviceResult &answer, TimePoint askedAt, TimePoint now)
{
    StepTickets &tickets = m_steps[Internal::stepKey(step)];
    tickets.asking = false;
    tickets.nextAsk = now + Internal::AskInterval;
    if (const auto *given = std::get_if<PlacementAdvice>(&answer)) {
        tickets.byWorker = given->tickets;
        tickets.validUntil = askedAt + given->validity - Internal::TicketMargin;
    }
}

void TicketBook::drop(const TaskId &task, const std::string &worker)
{
    const auto step = m_steps.find(Internal::stepKey(task));
    if (step != m_steps.end()) {
        step->second.byWorker.erase(worker);
    }
}

void TicketBook::forgetJob(const std::string &jobId)
{
    std::erase_if(m_steps, [&](const auto &item) { return item.first.job == jobId; });
}

} // namespace Hyssop
