#pragma once

#include <utils/clock.h>

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace Hyssop {

/// Bounds how many starts of runs the owner has in flight, by the delays of their responses.
///
/// Load pattern: hundreds of tasks become ready at once. Their starts fill the link of the owner for seconds, and the starts, polls and
/// appends behind them exceed their timeouts. The owner then sends them again and takes its own delay for the loss of workers. So the window
/// is halved, once per round trip, while most responses are much later than those to starts that had few others before them. It grows with
/// responses in time while tasks wait for it, and not while it is not used up: such responses say nothing about a larger burst.
///
/// Workers that are lost don't delay the responses of others, so starts without a response shrink the window only if many workers
/// are silent and none responds. A start that was overtaken by a later command that has a response has left the link, and is in flight no
/// longer, whether its own response is lost or not.
///
/// Invariant: the size is between MinimumSize and MaximumSize, and a start is in flight for MaximumResponseTime at most.
class CommandWindow
{
public:
    static constexpr std::size_t MinimumSize = 16;
    static constexpr std::size_t InitialSize = 64;
    static constexpr std::size_t MaximumSize = 4096;
    static constexpr std::chrono::milliseconds MaximumQueueingDelay{150}; // beyond the usual response time
    static constexpr std::chrono::milliseconds MaximumResponseTime{2000};

    /// Records that a start was sent.
    void handleSent(TimePoint now);

    /// Records a response, of whatever kind, to a start that was sent at @p sentAt, when @p startsAhead others were in flight.
    void handleResponse(TimePoint sentAt, std::size_t startsAhead, TimePoint now);

    /// Records a response to another command, which was sent at @p sentAt.
    void handleOtherResponse(TimePoint sentAt);

    /// Records that a start that was sent to @p worker at @p sentAt got no response.
    void handleMissingResponse(const std::string &worker, TimePoint sentAt, TimePoint now);

    /// Notes how late the owner is itself. That part of a response time says nothing about the link.
    void setOwnerLateness(Duration lateness) { m_ownerLateness = lateness; }

    /// Notes how many tasks wait because the window is full.
    void setWaitingTasks(std::size_t tasks) { m_waitingTasks = tasks; }
    std::size_t waitingTasks() const { return m_waitingTasks; }
    bool isLimiting() const { return m_waitingTasks > 0; }

    std::size_t size() const { return static_cast<std::size_t>(m_size); }

    /// Returns the number of starts that are sent, and of which neither a response nor one to a later command was received.
    std::size_t startsInFlight() const { return m_startsInFlight; }

    /// Removes the starts from the window that were sent too long ago.
    void removeOldStarts(TimePoint now);

private:
    /// Results of starts that were sent since the window was last halved.
    struct Round
    {
        std::size_t responsesInTime = 0;
        std::size_t lateResponses = 0;
        std::set<std::string> silentWorkers;
    };

    /// Returns the time that a response at @p now to a command sent at @p sentAt took outside of the owner.
    Duration responseTime(TimePoint sentAt, TimePoint now) const;
    void removeStart(TimePoint sentAt);
    void removeStartsBefore(TimePoint time);
    void updateUsualResponseTime(Duration responseTime);
    bool isLate(Duration responseTime) const;
    void shrinkIfCongested(TimePoint now);

    double m_size = InitialSize;
    double m_growthPerResponse = 1;
    std::size_t m_waitingTasks = 0;
    std::map<TimePoint, std::size_t> m_sent; // number of starts in flight by the time at which they were sent
    std::size_t m_startsInFlight = 0;
    TimePoint m_shrunkAt{};
    Duration m_ownerLateness{0};
    Round m_round;
    Duration m_usualResponseTime{0}; // moving average of the responses to starts with few others ahead
    int m_usualResponses = 0; // of which it was computed, up to a bound
};

} // namespace Hyssop
