#include "commandwindow.h"

#include <algorithm>

namespace Hyssop {

// After the first congestion, the window grows by this part of its size in a round trip.
constexpr double GrowthAfterCongestion = 0.125;
constexpr double DecreaseFactor = 0.5;
// The first responses to a burst are in time however long the burst is.
constexpr std::size_t LateShareDivisor = 4;
constexpr std::size_t MinimumLateResponses = 4;
constexpr std::size_t MinimumSilentWorkers = 8;
// Responses of the moving average. Fewer than the minimum say nothing yet.
constexpr int AveragedResponses = 64;
constexpr int MinimumAveragedResponses = 8;

void CommandWindow::handleSent(TimePoint now)
{
    ++m_sent[now];
    ++m_startsInFlight;
}

void CommandWindow::handleResponse(TimePoint sentAt, std::size_t startsAhead, TimePoint now)
{
    removeStart(sentAt);
    handleOtherResponse(sentAt);
    const Duration time = responseTime(sentAt, now);
    if (startsAhead < MinimumSize) {
        updateUsualResponseTime(time);
    }
    if (sentAt < m_shrunkAt || startsAhead >= size()) {
        return; // the window was larger when the run was assigned
    }
    if (isLate(time)) {
        ++m_round.lateResponses;
        shrinkIfCongested(now);
        return;
    }
    ++m_round.responsesInTime;
    // Half of the permitted delay is left for the starts that are assigned by now.
    if (isLimiting() && time <= m_usualResponseTime + MaximumQueueingDelay / 2) {
        m_size = std::min(m_size + m_growthPerResponse, double(MaximumSize));
    }
    if (m_round.responsesInTime + m_round.lateResponses >= size()) {
        m_round = Round();
    }
}

void CommandWindow::handleOtherResponse(TimePoint sentAt)
{
    // Commands that were sent within the usual response time may reach their workers in any order.
    const Duration reorderingTime = m_usualResponses > 0 ? m_usualResponseTime : Duration(MaximumQueueingDelay);
    removeStartsBefore(sentAt - reorderingTime);
}

void CommandWindow::handleMissingResponse(const std::string &worker, TimePoint sentAt, TimePoint now)
{
    removeStart(sentAt);
    if (sentAt >= m_shrunkAt && responseTime(sentAt, now) > MaximumQueueingDelay) {
        m_round.silentWorkers.insert(worker);
        shrinkIfCongested(now);
    }
}

Duration CommandWindow::responseTime(TimePoint sentAt, TimePoint now) const
{
    return std::max<Duration>(now - sentAt - m_ownerLateness, Duration::zero());
}

void CommandWindow::removeOldStarts(TimePoint now)
{
    removeStartsBefore(now - MaximumResponseTime);
}

void CommandWindow::removeStart(TimePoint sentAt)
{
    const auto sent = m_sent.find(sentAt);
    if (sent == m_sent.end()) {
        return;
    }
    --m_startsInFlight;
    if (--sent->second == 0) {
        m_sent.erase(sent);
    }
}

void CommandWindow::removeStartsBefore(TimePoint time)
{
    while (!m_sent.empty() && m_sent.begin()->first < time) {
        m_startsInFlight -= m_sent.begin()->second;
        m_sent.erase(m_sent.begin());
    }
}

void CommandWindow::updateUsualResponseTime(Duration responseTime)
{
    m_usualResponses = std::min(m_usualResponses + 1, AveragedResponses);
    m_usualResponseTime += (responseTime - m_usualResponseTime) / m_usualResponses;
}

bool CommandWindow::isLate(Duration responseTime) const
{
    return m_usualResponses >= MinimumAveragedResponses && responseTime > m_usualResponseTime + MaximumQueueingDelay;
}

void CommandWindow::shrinkIfCongested(TimePoint now)
{
    const std::size_t responses = m_round.responsesInTime + m_round.lateResponses;
    const bool areManyLate = m_round.lateResponses >= MinimumLateResponses && m_round.lateResponses * LateShareDivisor > responses;
    const bool areAllSilent = m_round.silentWorkers.size() >= MinimumSilentWorkers && m_round.responsesInTime == 0;
    if (!areManyLate && !areAllSilent) {
        return;
    }
    m_size = std::max(m_size * DecreaseFactor, double(MinimumSize));
    m_growthPerResponse = GrowthAfterCongestion;
    m_shrunkAt = now;
    m_round = Round();
}

} // namespace Hyssop
