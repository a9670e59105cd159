#include "advicewindow.h"

#include <algorithm>
#include <iterator>

namespace Hyssop {

// A busy owner and its link delay a response.
constexpr std::chrono::milliseconds MinimumOverdueTime{500};
// While there are no responses, other requests follow in growing intervals: a slow service handles all of them, in their order.
constexpr int MaximumIntervalDoublings = 8;
constexpr std::chrono::milliseconds MaximumProbeInterval{16000};
// The delay decreases by this part with each response that is less delayed.
constexpr int DelayDivisor = 8;
// Between two requests after a failure.
constexpr std::chrono::milliseconds FailureInterval{100};
constexpr std::chrono::milliseconds MinimumTimeout{5000};
constexpr std::chrono::milliseconds MaximumTimeout{30000};
// Of the time in which a response is expected.
constexpr int TimeoutFactor = 4;
constexpr int MaximumTimeoutDoublings = 3;

bool AdviceWindow::isOpen(TimePoint now) const
{
    if (m_requests.size() >= MaximumSize) {
        return false;
    }
    std::size_t awaited = 0;
    std::size_t overdue = 0;
    Duration work{0};
    for (auto request = m_requests.begin(); request != m_requests.end(); ++request) {
        awaited += request->isOvertaken ? 0 : 1;
        overdue += isOverdue(request, now) ? 1 : 0;
        work += request->isOvertaken ? Duration::zero() : request->serviceTime + m_delay;
    }
    if (m_failures > 0) {
        return overdue == m_requests.size() && now >= m_lastSentAt + FailureInterval;
    }
    if (isSilent(now)) {
        return now >= m_lastSentAt + probeInterval();
    }
    // The announced rate is believed after a response only.
    return awaited < MinimumSize || (m_decidedNumber > 0 && work < MaximumResponseTime);
}

Duration AdviceWindow::probeInterval() const
{
    return std::min<Duration>(MinimumOverdueTime * (1 << std::min(m_probes, MaximumIntervalDoublings)), MaximumProbeInterval);
}

bool AdviceWindow::isSilent(TimePoint now) const
{
    for (auto request = m_requests.begin(); request != m_requests.end(); ++request) {
        if (!request->isOvertaken && isOverdue(request, now)) {
            return true;
        }
    }
    return m_timeouts > 0;
}

std::int64_t AdviceWindow::begin(Duration serviceTime, TimePoint now)
{
    m_probes += isSilent(now) ? 1 : 0;
    m_requests.push_back({++m_lastNumber, now, serviceTime});
    m_lastSentAt = now;
    return m_lastNumber;
}

std::chrono::milliseconds AdviceWindow::timeout(Duration serviceTime, TimePoint now) const
{
    const Duration wait = std::max<Duration>(expectedResponse(m_requests.begin(), m_requests.end()) - now, Duration::zero());
    const auto expected = std::chrono::ceil<std::chrono::milliseconds>(wait + serviceTime + m_delay);
    const auto timeout = std::max(MinimumTimeout, expected * TimeoutFactor);
    return std::min(timeout * (1 << std::min(m_timeouts, MaximumTimeoutDoublings)), MaximumTimeout);
}

bool AdviceWindow::isOverdue(std::int64_t number, TimePoint now) const
{
    const auto request = std::ranges::find(m_requests, number, &Request::number);
    return request == m_requests.end() || isOverdue(request, now);
}

bool AdviceWindow::isOvertaken(std::int64_t number) const
{
    const auto request = std::ranges::find(m_requests, number, &Request::number);
    return request == m_requests.end() || request->isOvertaken;
}

bool AdviceWindow::isOverdue(Requests::const_iterator request, TimePoint now) const
{
    return request->isOvertaken || now >= expectedResponse(m_requests.begin(), std::next(request)) + std::max<Duration>(MinimumOverdueTime, m_delay);
}

TimePoint AdviceWindow::expectedResponse(Requests::const_iterator begin, Requests::const_iterator end) const
{
    TimePoint expected = m_lastResponseAt;
    for (auto request = begin; request != end; ++request) {
        if (!request->isOvertaken) {
            expected = std::max(expected, request->sentAt) + request->serviceTime + m_delay;
        }
    }
    return expected;
}

TimePoint AdviceWindow::handleDecision(std::int64_t number, TimePoint sentAt, TimePoint now)
{
    m_failures = 0;
    m_timeouts = 0;
    m_probes = 0;
    const auto request = find(number);
    if (request == m_requests.end()) {
        return sentAt;
    }
    updateDelay(*request, now);
    // The service was busy with an earlier request until it decided on it.
    const bool isInOrder = number > m_decidedNumber;
    const TimePoint begunAt = isInOrder ? std::max(sentAt, m_decidedAt) : sentAt;
    const TimePoint decidedAt = std::min(begunAt + request->serviceTime, now);
    if (isInOrder) {
        m_decidedNumber = number;
        m_decidedAt = decidedAt;
    }
    std::for_each(m_requests.begin(), request, [](Request &earlier) { earlier.isOvertaken = true; });
    m_requests.erase(request);
    m_lastResponseAt = now;
    return decidedAt;
}

void AdviceWindow::updateDelay(const Request &request, TimePoint now)
{
    const Duration delay = now - std::max(request.sentAt, m_lastResponseAt) - request.serviceTime;
    m_delay = std::max({delay, m_delay - m_delay / DelayDivisor, Duration::zero()});
}

void AdviceWindow::handleFailure(std::int64_t number)
{
    const auto request = find(number);
    if (request != m_requests.end()) {
        m_requests.erase(request);
        ++m_failures;
    }
}

void AdviceWindow::handleTimeout(std::int64_t number)
{
    const auto request = find(number);
    if (request == m_requests.end()) {
        return;
    }
    if (!request->isOvertaken) {
        ++m_timeouts;
    }
    m_requests.erase(request);
}

void AdviceWindow::clear()
{
    const std::int64_t lastNumber = m_lastNumber;
    *this = AdviceWindow();
    m_lastNumber = lastNumber;
}

AdviceWindow::Requests::iterator AdviceWindow::find(std::int64_t number)
{
    return std::ranges::find(m_requests, number, &Request::number);
}

} // namespace Hyssop
