#pragma once

#include <utils/clock.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace Hyssop {

/// Whether a job with serving tasks is accepted, and what this follows from. Amounts are in thousandths of a core.
struct AdmissionDecision
{
    std::optional<std::chrono::seconds> retryAfter; // set if the job is refused
    std::int64_t needed = 0; // by the serving tasks of the job
    std::optional<std::int64_t> publishedRoom; // none: unknown
    std::int64_t submittedSince = 0; // by other jobs since the room was computed
    Duration roomAge{}; // since the room was read
    bool isTableOutdated = false; // there is no room, but the job may have been recorded before

    bool isRefused() const { return retryAfter.has_value(); }
};

} // namespace Hyssop
