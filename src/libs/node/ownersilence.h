#pragma once

#include <utils/clock.h>

namespace Hyssop {

/// Measures for how long the owner of the job topic has written nothing, as far as this instance could have read it.
///
/// Fault: the store answers nobody for seconds. The owner can't write then, so that time says nothing about the owner. The first
/// instance that reads again must not take it for the owner's silence.
class OwnerSilence
{
public:
    /// Records that a record of the owner was read.
    void handleRecord(TimePoint now);

    /// Records the end of a read that returned all records of the topic.
    void handleRead(TimePoint now);

    Duration duration() const { return m_duration; }

private:
    Duration m_duration{0};
    TimePoint m_lastReadAt{}; // of the topic, or of a record of the owner
    bool m_isInterrupted = false; // the last read ended long after the one before it
};

} // namespace Hyssop
