#include "simulatedadviceservice.h"

#include <algorithm>
#include <utility>

namespace Hyssop::Testing {

namespace Internal {

constexpr std::size_t MaximumWaitingRequests = 32;

static std::string ticketFor(const TaskId &step, const std::string &worker, TimePoint decidedAt)
{
    return step.job + "." + std::to_string(step.step) + "|" + worker + "|" + std::to_string(decidedAt.time_since_epoch().count());
}

static TimePoint timeoutOf(const RequestAdvice &request, TimePoint sentAt)
{
    return sentAt + request.timeout;
}

} // namespace Internal

std::size_t SimulatedAdviceService::waitingRequests(TimePoint now) const
{
    const auto open = std::ranges::count_if(m_decisionTimes, [&](TimePoint decidedAt) { return decidedAt > now; });
    return open > 0 ? static_cast<std::size_t>(open) - 1 : 0; // one of them is being handled
}

void SimulatedAdviceService::send(const RequestAdvice &request, TimePoint now)
{
    const TimePoint arrivedAt = now + transit;
    Call call{request, now, arrivedAt, Error{ErrorCode::Refused, "400"}, arrivedAt + transit};
    if (waitingRequests(arrivedAt) >= Internal::MaximumWaitingRequests) {
        ++m_refusals;
        call.result = Error{ErrorCode::Refused, "429"};
    } else if (!failingJobs.contains(request.step.job)) {
        const auto time = parameters.decisionTime + parameters.decisionTimePerWorker * static_cast<std::int64_t>(request.workers.size());
        m_busyUntil = std::max(m_busyUntil, arrivedAt) + time * slowness;
        call.decidedAt = m_busyUntil;
        decide(call);
    }
    m_calls.push_back(std::move(call));
}

void SimulatedAdviceService::decide(Call &call)
{
    ++m_decisions;
    m_decisionTimes.push_back(call.decidedAt);
    PlacementAdvice advice;
    advice.validity = parameters.validity;
    for (const std::string &worker : call.request.workers) {
        if (allowedWorkers.empty() || allowedWorkers.contains(worker)) {
            const std::string ticket = Internal::ticketFor(call.request.step, worker, call.decidedAt);
            m_tickets[ticket] = call.decidedAt + parameters.validity;
            advice.tickets[worker] = ticket;
        }
    }
    call.result = std::move(advice);
    const bool isLost = lostResponsesOf > 0 && m_decisions % static_cast<std::size_t>(lostResponsesOf) == 0;
    call.respondsAt = isLost ? TimePoint::max() : call.decidedAt + transit;
}

void SimulatedAdviceService::advance(TimePoint now, const ResponseHandler &onResponse)
{
    std::vector<Call> due;
    std::erase_if(m_calls, [&](Call &call) {
        const bool isDue = call.respondsAt <= now || Internal::timeoutOf(call.request, call.sentAt) <= now;
        if (isDue) {
            due.push_back(std::move(call));
        }
        return isDue;
    });
    for (Call &call : due) {
        const TimePoint timeout = Internal::timeoutOf(call.request, call.sentAt);
        const bool isInTime = call.respondsAt <= timeout;
        onResponse(call.request, isInTime ? call.result : AdviceResult(Error{ErrorCode::Timeout, "timeout"}), call.sentAt);
    }
    std::erase_if(m_decisionTimes, [&](TimePoint decidedAt) { return decidedAt <= now; });
}

void SimulatedAdviceService::stallUntil(TimePoint time)
{
    m_busyUntil = std::max(m_busyUntil, time);
}

bool SimulatedAdviceService::isValid(const std::string &ticket, const TaskId &task, const std::string &worker, TimePoint now) const
{
    const auto known = m_tickets.find(ticket);
    const std::string prefix = task.job + "." + std::to_string(task.step) + "|" + worker + "|";
    return known != m_tickets.end() && ticket.starts_with(prefix) && now < known->second;
}

} // namespace Hyssop::Testing
