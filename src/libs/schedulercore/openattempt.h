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
    NotSent, // no start command for the attempt can be in flight
    Sent, // awaits the worker's answer
    Undetermined, // no definite answer: the command may have reached the worker
    Confirmed, // the worker has the task
    Adopted, // taken over from the previous owner, which may have sent the start command; the first worker status decides
};

/// State that the owner keeps for an attempt whose intent is durable and whose end is not.
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
    bool mayHaveArrived = false; // a start command was sent and its effect is unknown
    std::optional<std::chrono::milliseconds> notAfter; // deadline of the start commands, in the worker's clock
    bool mayResend = true; // false once the worker has restarted: the deadline does not apply to its new clock
    bool cancelRequested = false;
    bool workerLeaving = false; // according to the last status
    bool hasStatus = false; // the worker reported the task
    TaskStatus task; // last reported status
    std::optional<EvictionMachine> eviction;
    std::optional<Wire::AttemptEnded> end; // to be proposed, or proposed
    std::optional<TimePoint> stopSentAt;
    int targetSpeedPercent = 100; // percent of full speed
    int confirmedSpeedPercent = 100;
    std::optional<TimePoint> throttleSentAt;
};

} // namespace Hyssop::Internal
