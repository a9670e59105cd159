#include "ticketcache.h"

#include <utils/result.h>

namespace Hyssop {

namespace Internal {

// A ticket is used only while it stays valid for this long.
constexpr std::chrono::milliseconds TicketMargin{300};
constexpr std::chrono::milliseconds RequestInterval{500};

static TaskId stepKey(TaskId task)
{
    task.index = 0;
    return task;
}

} // namespace Internal

const std::map<std::string, std::string> *TicketCache::tickets(const TaskId &task, TimePoint now) const
{
    const auto step = m_steps.find(Internal::stepKey(task));
    if (step == m_steps.end() || step->second.byWorker.empty() || now >= step->second.validUntil) {
        return nullptr;
    }
    return &step->second.byWorker;
}

bool TicketCache::beginRequest(const TaskId &task, TimePoint now)
{
    StepTickets &step = m_steps[Internal::stepKey(task)];
    if (step.requestPending || now < step.nextRequestAt) {
        return false;
    }
    step.requestPending = true;
    return true;
}

void TicketCache::handleResult(const TaskId &step, const AdviceResult &result, TimePoint sentAt, TimePoint now)
{
    StepTickets &tickets = m_steps[Internal::stepKey(step)];
    tickets.requestPending = false;
    tickets.nextRequestAt = now + Internal::RequestInterval;
    if (const auto *advice = std::get_if<PlacementAdvice>(&result)) {
        tickets.byWorker = advice->tickets;
        tickets.validUntil = sentAt + advice->validity - Internal::TicketMargin;
    }
}

void TicketCache::discard(const TaskId &task, const std::string &worker)
{
    const auto step = m_steps.find(Internal::stepKey(task));
    if (step != m_steps.end()) {
        step->second.byWorker.erase(worker);
    }
}

void TicketCache::forgetJob(const std::string &jobId)
{
    std::erase_if(m_steps, [&](const auto &item) { return item.first.job == jobId; });
}

} // namespace Hyssop
