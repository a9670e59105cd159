#pragma once

#include <utils/clock.h>

namespace Hyssop {

/// Tells whether the processor of the owner carries its work: whether its ticks come about as often as they are due.
///
/// Load pattern: an instance with a small processor share owns a large fleet after a fault. It answers each event late, and nothing
/// fails that would end its ownership.
class OwnerCapacity
{
public:
    /// Begins a term. @p isPresumedExceeded is true if the owner has to prove first that it carries the work, by a period of ticks in time.
    void beginTerm(TimePoint now, bool isPresumedExceeded);

    /// Records that a tick begins.
    void handleTick(TimePoint now);

    /// Returns true if far too few ticks began in the last complete period, or if the presumption is not disproved yet.
    bool isExceeded() const { return m_isExceeded; }

private:
    TimePoint m_periodBeganAt{};
    int m_ticks = 0; // in this period
    bool m_isExceeded = false;
};

} // namespace Hyssop
