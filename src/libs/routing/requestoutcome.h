#pragma once

#include <cstddef>
#include <string_view>

namespace Hyssop {

/// What the gateway knows about the execution of a request at a target.
enum class RequestOutcome {
    NotRun, // no byte of the request was written to a target
    Unknown, // bytes were written, but the response was not received completely
    Known, // the response was received
};

/// Progress of one attempt.
struct AttemptProgress
{
    std::size_t bytesWritten = 0; // to the target, including the header
    bool responseReceived = false; // the response header was accepted and can be forwarded to the caller
};

/// Returns the value of the Hyssop-Outcome header: "not-run", "unknown" or "known".
std::string_view outcomeName(RequestOutcome outcome);

/// Derives the outcome from the progress of an attempt.
RequestOutcome outcomeOf(const AttemptProgress &progress);

/// True for GET, HEAD and OPTIONS.
bool isIdempotentMethod(std::string_view method);

/// Returns whether a failed attempt may be retried. @p replayable: the request can be written again from its start.
bool mayRetry(RequestOutcome outcome, bool idempotent, bool replayable);

} // namespace Hyssop
