#include "ticketcache.h"

#include <utils/result.h>

#include <algorithm>
#include <iterator>

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
// Beyond the time that the service takes: a busy owner and its link delay a response.
constexpr std::chrono::milliseconds MinimumOverdueTime{500};
// Responses are not equally late.
constexpr int LatenessFactor = 2;
// The lateness decreases by this part with each response that is less late.
constexpr int LatenessDivisor = 8;
// A request and its repetition.
constexpr std::size_t MaximumPendingOfStep = 2;
// Half of those that the service lets wait. Beyond that, requests of steps that have not been asked about go first.
constexpr std::size_t MaximumPendingForRepetition = 16;

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
    if (step == m_steps.end()) {
        return true;
    }
    const std::vector<PendingRequest> &pending = step->second.pending;
    const bool areOverdue = std::ranges::all_of(pending, [&](const PendingRequest &request) { return isOverdue(request, now); });
    const bool isAllowed = pending.empty() || (pending.size() < Internal::MaximumPendingOfStep && areOverdue && hasRoomForRepetition());
    return isAllowed && now >= step->second.nextRequestAt;
}

std::vector<std::string>
TicketCache::beginRequest(const TaskId &task, const std::vector<std::string> &candidates, TimePoint now, const AdviceParameters &service)
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
    if (!workers.empty()) {
        step.pending.push_back({now, expectResponse(workers.size(), now, service)});
    }
    step.nextRequestAt = now + Internal::CandidatesInterval;
    return workers;
}

void TicketCache::handleResult(const TaskId &step, const std::vector<std::string> &asked, const AdviceResult &result, TimePoint sentAt, TimePoint now)
{
    StepTickets &tickets = m_steps[Internal::stepKey(step)];
    endRequest(tickets, result, sentAt, now);
    const auto *advice = std::get_if<PlacementAdvice>(&result);
    if (advice == nullptr || advice->validity <= Internal::TicketMargin) {
        tickets.nextRequestAt = now + Internal::RetryInterval;
        return;
    }
    storeTickets(tickets, asked, *advice, sentAt);
}

bool TicketCache::isOverdue(const PendingRequest &request, TimePoint now) const
{
    return now >= request.expectedAt + std::max<Duration>(Internal::MinimumOverdueTime, m_lateness * Internal::LatenessFactor);
}

bool TicketCache::hasRoomForRepetition() const
{
    std::size_t pending = 0;
    for (const auto &[id, step] : m_steps) {
        pending += step.pending.size();
    }
    return pending < Internal::MaximumPendingForRepetition;
}

TimePoint TicketCache::expectResponse(std::size_t workers, TimePoint now, const AdviceParameters &service)
{
    const auto serviceTime = service.decisionTime + service.decisionTimePerWorker * static_cast<std::int64_t>(workers);
    m_serviceBusyUntil = std::max(m_serviceBusyUntil, now) + serviceTime;
    return m_serviceBusyUntil;
}

void TicketCache::endRequest(StepTickets &step, const AdviceResult &result, TimePoint sentAt, TimePoint now)
{
    // A request is sent after it has begun, and its repetition begins later.
    const auto next = std::ranges::find_if(step.pending, [&](const PendingRequest &request) { return request.beganAt > sentAt; });
    if (next == step.pending.begin()) {
        return; // of an earlier term
    }
    const auto ended = std::prev(next);
    if (std::holds_alternative<PlacementAdvice>(result)) {
        const Duration lateness = now - ended->expectedAt;
        m_lateness = std::max(lateness, m_lateness - m_lateness / Internal::LatenessDivisor);
    }
    step.pending.erase(ended);
}

void TicketCache::storeTickets(StepTickets &step, const std::vector<std::string> &asked, const PlacementAdvice &advice, TimePoint sentAt)
{
    for (const std::string &worker : asked) {
        const auto ticket = advice.tickets.find(worker);
        if (ticket == advice.tickets.end()) {
            step.allowed.erase(worker);
            step.excluded.insert(worker);
            continue;
        }
        step.allowed.insert(worker);
        TimePoint &validUntil = step.validUntil[worker];
        const TimePoint newValidUntil = sentAt + advice.validity - Internal::TicketMargin;
        if (newValidUntil > validUntil) { // the response to a repetition may have arrived before
            validUntil = newValidUntil;
            step.byWorker[worker] = ticket->second;
        }
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
