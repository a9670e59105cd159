#pragma once

#include "hyssop_types.h"

#include <utils/clock.h>
#include <workers/evictionmachine.h>
#include <workers/workerstatus.h>

#include <chrono>
#include <optional>
#include <string>

namespace Hyssop::Internal {

enum class StartState {
    NotSent, // certain that no start command for the attempt is under way
    Sent, // waits for the answer
    Undetermined, // the command may have reached the worker
    Confirmed, // the worker has the task
    Adopted, // a former owner may have sent the command; the first status decides
};

/// An attempt with a durable intent and without a durable end, as its owner drives it.
struct OpenAttempt
{
    std::string worker;
    int number = 0;
    bool service = false;
    bool stopsWithoutLease = true;
    StartState start = StartState::NotSent;
    TimePoint openedAt;
    TimePoint nextStartAt;
    TimePoint confirmedAt;
    bool mayHaveArrived = false; // a start command has no definite answer
    std::optional<std::chrono::milliseconds> notAfter; // bound of the start commands, in the worker's clock
    bool mayResend = true; // false once the worker has restarted: the bound does not apply to its new clock
    bool cancelRequested = false;
    bool workerLeaving = false; // at the last report
    bool hasStatus = false; // the worker reported the task
    TaskStatus task; // last report
    std::optional<EvictionMachine> eviction;
    std::optional<Wire::AttemptEnded> end; // to be proposed, or proposed
    std::optional<TimePoint> stopSentAt;
    int targetSpeedPercent = 100; // wanted, percent of full speed
    int confirmedSpeedPercent = 100;
    std::optional<TimePoint> throttleSentAt;
};

} // namespace Hyssop::Internal
