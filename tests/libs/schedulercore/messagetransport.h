#pragma once

#include "worldstate.h"

#include <functional>
#include <string>

namespace Hyssop::Testing {

/// Carries the messages between schedulers, workers and the log, with random delays and losses.
class MessageTransport
{
public:
    explicit MessageTransport(WorldState &state);

    /// Reads the job stream and the configuration.
    void read(SimulatedScheduler &scheduler);
    void sendHeartbeats(SimulatedScheduler &scheduler);
    void perform(SimulatedScheduler &scheduler, const SchedulerAction &action);

private:
    void sendRenewal(SimulatedScheduler &scheduler, const RenewLease &command);
    void sendCommand(SimulatedScheduler &scheduler, const std::string &workerName, const SchedulerAction &command);
    void
    sendAppend(SimulatedScheduler &scheduler, const std::string &domain, const Wire::Record &record, std::function<void(SchedulerCore &, bool written)> answer);

    WorldState &m_state;
};

} // namespace Hyssop::Testing
