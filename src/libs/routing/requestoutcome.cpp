#include "requestoutcome.h"

namespace Hyssop {

std::string_view outcomeName(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::NotRun:
        return "not-run";
    case RequestOutcome::Unknown:
        return "unknown";
    case RequestOutcome::Known:
        return "known";
    }
    return "unknown";
}

RequestOutcome outcomeOf(const AttemptProgress &progress)
{
    if (progress.responseReceived) {
        return RequestOutcome::Known;
    }
    return progress.bytesWritten == 0 ? RequestOutcome::NotRun : RequestOutcome::Unknown;
}

bool isIdempotentMethod(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

bool mayRetry(RequestOutcome outcome, bool idempotent, bool replayable)
{
    if (!replayable || outcome == RequestOutcome::Known) {
        return false;
    }
    return outcome == RequestOutcome::NotRun || idempotent;
}

} // namespace Hyssop
