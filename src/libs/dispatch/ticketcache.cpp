#include "ticketcache.h"

#include "advicecandidate.h"
#include "dispatchactions.h"

#include <utils/result.h>

#include <algorithm>
#include <utility>

namespace Hyssop {

namespace Internal {

// Workers per request to the advice service, which needs time for each of them.
constexpr std::size_t MaximumRequestedWorkers = 30;
// A ticket is used only while it stays valid for this long, or for a part of its validity if that is less.
constexpr std::chrono::milliseconds TicketMargin{300};
constexpr int TicketMarginDivisor = 4;
// Until the candidates are looked at again.
constexpr std::chrono::milliseconds CandidatesInterval{100};
// After a request without a usable result; doubled with each further one.
constexpr std::chrono::milliseconds RetryInterval{500};
constexpr int MaximumRetryDoublings = 2;
// A request and its repetition.
constexpr int MaximumAwaitedOfStep = 2;
// Decisions for a step that no start follows, before requests of other steps go first.
constexpr int MaximumUnusedDecisions = 3;
// Of so many requests, one may be for a step that has no room.
constexpr int RequestsPerSpeculativeRequest = 8;

static TaskId stepKey(TaskId task)
{
    task.index = 0;
    return task;
}

static std::chrono::milliseconds usableTime(std::chrono::milliseconds validity)
{
    return validity - std::min(TicketMargin, validity / TicketMarginDivisor);
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

std::string TicketCache::takeTicket(const TaskId &task, const std::string &worker, TimePoint now)
{
    const auto *valid = tickets(task, now);
    if (valid == nullptr || !valid->contains(worker)) {
        return {};
    }
    m_steps[Internal::stepKey(task)].unusedDecisions = 0;
    return valid->at(worker);
}

bool TicketCache::canRequest(const TaskId &task, TimePoint now) const
{
    if (!m_window.isOpen(now)) {
        return false;
    }
    const auto step = m_steps.find(Internal::stepKey(task));
    if (step == m_steps.end()) {
        return true;
    }
    const std::vector<std::int64_t> &pending = step->second.pending;
    const auto awaited = std::ranges::count_if(pending, [&](std::int64_t number) { return !m_window.isOvertaken(number); });
    const bool areOverdue = std::ranges::all_of(pending, [&](std::int64_t number) { return m_window.isOverdue(number, now); });
    return awaited < Internal::MaximumAwaitedOfStep && areOverdue && now >= step->second.nextRequestAt;
}

std::optional<RequestAdvice>
TicketCache::beginRequest(const TaskId &task, const std::vector<AdviceCandidate> &candidates, TimePoint now, const AdviceParameters &service)
{
    if (!canRequest(task, now)) {
        return std::nullopt;
    }
    StepTickets &step = m_steps[Internal::stepKey(task)];
    removeExpired(step, now);
    step.nextRequestAt = now + Internal::CandidatesInterval;
    RequestAdvice request;
    request.step = task;
    bool hasRoom = false;
    const auto addWorkers = [&](bool areAllowed) {
        for (const AdviceCandidate &candidate : candidates) {
            const std::string &worker = candidate.worker;
            const bool isWanted = !step.byWorker.contains(worker) && !step.excluded.contains(worker) && step.allowed.contains(worker) == areAllowed;
            if (isWanted && request.workers.size() < Internal::MaximumRequestedWorkers) {
                request.workers.push_back(worker);
                hasRoom = hasRoom || candidate.hasRoom;
            }
        }
    };
    addWorkers(true);
    addWorkers(false);
    if (request.workers.empty() || !admits(step, hasRoom)) {
        return std::nullopt;
    }
    request.serviceTime = service.decisionTime + service.decisionTimePerWorker * static_cast<std::int64_t>(request.workers.size());
    request.timeout = m_window.timeout(request.serviceTime, now);
    request.number = m_window.begin(request.serviceTime, now);
    step.pending.push_back(request.number);
    return request;
}

bool TicketCache::admits(const StepTickets &step, bool hasRoom)
{
    if (hasRoom && step.unusedDecisions < Internal::MaximumUnusedDecisions) {
        ++m_requestsWithRoom;
        return true;
    }
    if (!m_window.isIdle() && m_requestsWithRoom < Internal::RequestsPerSpeculativeRequest) {
        return false;
    }
    m_requestsWithRoom = 0;
    return true;
}

std::size_t TicketCache::handleResult(const RequestAdvice &request, const AdviceResult &result, bool isWaiting, TimePoint sentAt, TimePoint now)
{
    const TimePoint decidedAt = endRequest(request, result, sentAt, now);
    if (!isWaiting) {
        return 0;
    }
    StepTickets &step = m_steps[Internal::stepKey(request.step)];
    std::erase(step.pending, request.number);
    const auto *advice = std::get_if<PlacementAdvice>(&result);
    if (advice == nullptr || advice->validity <= std::chrono::milliseconds::zero()) {
        const int doublings = std::min(step.failures, Internal::MaximumRetryDoublings);
        ++step.failures;
        step.nextRequestAt = now + Internal::RetryInterval * (1 << doublings);
        return 0;
    }
    step.failures = 0;
    step.unusedDecisions += advice->tickets.empty() ? 0 : 1;
    const TimePoint usableUntil = ticketsEnd(*advice, decidedAt, now);
    storeTickets(step, request.workers, *advice, usableUntil);
    return now < usableUntil ? advice->tickets.size() : 0;
}

TimePoint TicketCache::endRequest(const RequestAdvice &request, const AdviceResult &result, TimePoint sentAt, TimePoint now)
{
    const auto *error = std::get_if<Error>(&result);
    if (error == nullptr) {
        return m_window.handleDecision(request.number, sentAt, now);
    }
    if (error->code == ErrorCode::Timeout) {
        m_window.handleTimeout(request.number);
    } else {
        m_window.handleFailure(request.number);
    }
    return sentAt;
}

TimePoint TicketCache::ticketsEnd(const PlacementAdvice &advice, TimePoint decidedAt, TimePoint now) const
{
    const Duration usableTime = Internal::usableTime(advice.validity);
    if (decidedAt + usableTime > now) {
        return decidedAt + usableTime;
    }
    // The service is slower than announced, or the response was under way for long. If no ticket were tried, none might ever be.
    return std::min(m_tickAt, now) + usableTime;
}

void TicketCache::storeTickets(StepTickets &step, const std::vector<std::string> &asked, const PlacementAdvice &advice, TimePoint usableUntil)
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
        if (usableUntil > validUntil) { // the response to a repetition may have arrived before
            validUntil = usableUntil;
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

void TicketCache::clear()
{
    m_steps.clear();
    m_window.clear();
    m_requestsWithRoom = 0;
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
