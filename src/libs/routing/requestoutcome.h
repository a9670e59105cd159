#pragma once

#include <cstddef>
#include <string_view>

namespace Hyssop {

/// What is certain about the execution of a request at a target.
enum class RequestOutcome {
    NotRun, // no byte of it was written to a target
    Unknown, // bytes were written, the complete answer was not received
    Known, // the answer was received
};

/// Progress of one attempt.
struct AttemptProgress
{
    std::size_t bytesWritten = 0; // to the target, header included
    bool answered = false; // the answer's header was accepted and can be handed to the caller
};

/// Value of the Hyssop-Outcome header: "not-run", "unknown" or "known".
std::string_view outcomeName(RequestOutcome outcome);

/// Derives what is certain from the progress of an attempt.
RequestOutcome outcomeOf(const AttemptProgress &progress);

/// True for GET, HEAD and OPTIONS.
bool isIdempotentMethod(std::string_view method);

/// Decides whether a failed attempt may be followed by another. @p replayable: the request can be written again from
/// its start.
bool mayRetry(RequestOutcome outcome, bool idempotent, bool replayable);

} // namespace Hyssop
