#include "ticketcache.h"

#include <utils/result.h>

#include <algorithm>

namespace Hyssop {

namespace Internal {

// Workers per request to the advice service, which needs time for each of them.
constexpr std::size_t MaximumRequestedWorkers = 30;
// A ticket is used only while it stays valid for this long.
constexpr std::chrono::milliseconds TicketMargin{300};
// Until the candidates are looked at again.
constexpr std::chrono::milliseconds CandidatesInterval{100};
// After a request without a usable result.
constexpr std::chrono::milliseconds RetryInterval{500};

static TaskId stepKey(TaskId task)
{
    task.index = 0;
    return task;
}

} // namespace Internal

const std::map<std::string, std::string> *TicketCache::tickets(const TaskId &task, TimePoint now)
{
    const auto step = m_steps.find(Internal::stepKey(task));
    if (step == m_steps.end()) {
        return nullptr;
    }
    removeExpired(step->second, now);
    return step->second.byWorker.empty() ? nullptr : &step->second.byWorker;
}

bool TicketCache::canRequest(const TaskId &task, TimePoint now) const
{
    const auto step = m_steps.find(Internal::stepKey(task));
    return step == m_steps.end() || (!step->second.requestPending && now >= step->second.nextRequestAt);
}

std::vector<std::string> TicketCache::beginRequest(const TaskId &task, const std::vector<std::string> &candidates, TimePoint now)
{
    StepTickets &step = m_steps[Internal::stepKey(task)];
    std::vector<std::string> workers;
    if (!canRequest(task, now)) {
        return workers;
    }
    removeExpired(step, now);
    const auto addWorkers = [&](bool areAllowed) {
        for (const std::string &worker : candidates) {
            const bool isWanted = !step.byWorker.contains(worker) && !step.excluded.contains(worker) && step.allowed.contains(worker) == areAllowed;
            if (isWanted && workers.size() < Internal::MaximumRequestedWorkers) {
                workers.push_back(worker);
            }
        }
    };
    addWorkers(true);
    addWorkers(false);
    step.requestPending = !workers.empty();
    step.nextRequestAt = now + Internal::CandidatesInterval;
    return workers;
}

void TicketCache::handleResult(const TaskId &step, const std::vector<std::string> &asked, const AdviceResult &result, TimePoint sentAt, TimePoint now)
{
    StepTickets &tickets = m_steps[Internal::stepKey(step)];
    tickets.requestPending = false;
    const auto *advice = std::get_if<PlacementAdvice>(&result);
    if (advice == nullptr || advice->validity <= Internal::TicketMargin) {
        tickets.nextRequestAt = now + Internal::RetryInterval;
        return;
    }
    for (const std::string &worker : asked) {
        const auto ticket = advice->tickets.find(worker);
        if (ticket == advice->tickets.end()) {
            tickets.allowed.erase(worker);
            tickets.excluded.insert(worker);
            continue;
        }
        tickets.allowed.insert(worker);
        tickets.byWorker[worker] = ticket->second;
        tickets.validUntil[worker] = sentAt + advice->validity - Internal::TicketMargin;
    }
}

void TicketCache::discard(const TaskId &task, const std::string &worker, TimePoint now)
{
    const auto step = m_steps.find(Internal::stepKey(task));
    if (step != m_steps.end()) {
        step->second.byWorker.erase(worker);
        step->second.validUntil.erase(worker);
        step->second.nextRequestAt = std::max(step->second.nextRequestAt, now + Internal::RetryInterval);
    }
}

void TicketCache::forgetJob(const std::string &jobId)
{
    std::erase_if(m_steps, [&](const auto &item) { return item.first.job == jobId; });
}

void TicketCache::removeExpired(StepTickets &step, TimePoint now)
{
    std::erase_if(step.validUntil, [&](const auto &item) {
        const bool isExpired = now >= item.second;
        if (isExpired) {
            step.byWorker.erase(item.first);
        }
        return isExpired;
    });
}

} // namespace Hyssop
