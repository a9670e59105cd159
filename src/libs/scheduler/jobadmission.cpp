#include "jobadmission.h"

#include <contract/contract.h>

namespace Hyssop {

namespace Internal {

constexpr std::size_t LongestJobId = 128;
constexpr int MaximumFailuresLimit = 100;

static bool exceedsQuota(const Wire::Resources &declared, const Resources &quota)
{
    const Resources needed{declared.milliCores, declared.memoryBytes, declared.accelerators, declared.slots};
    return !needed.fitsIn(quota);
}

static bool isValidSize(const Wire::Resources &declared)
{
    return declared.milliCores >= 0 && declared.memoryBytes >= 0 && declared.accelerators >= 0 && declared.slots >= 1;
}

} // namespace Internal

std::optional<std::string> checkJob(const Wire::JobSpec &spec, const Contract *contract)
{
    if (spec.jobId.empty() || spec.jobId.size() > Internal::LongestJobId || spec.jobId.starts_with("service/")) {
        return "the job id must have 1 to 128 characters and must not begin with \"service/\"";
    }
    if (spec.kind != Wire::TaskKind::Batch) {
        return "only batch jobs can be submitted; services follow from the contract";
    }
    if (!Internal::isValidSize(spec.declared)) {
        return "the declared size is negative or has no slot";
    }
    if (spec.maximumFailures < 1 || spec.maximumFailures > Internal::MaximumFailuresLimit) {
        return "the number of failures must be from 1 to 100";
    }
    if (contract == nullptr) {
        return "no contract is in force for the customer \"" + spec.customer + "\"";
    }
    const TeamContract *team = contract->team(spec.team);
    if (team == nullptr) {
        return "the contract of " + spec.customer + " has no team \"" + spec.team + "\"";
    }
    if (spec.urgent && !team->urgent) {
        return "the team " + spec.team + " may not submit urgent jobs";
    }
    if (Internal::exceedsQuota(spec.declared, team->quota)) {
        return "the declared size is larger than the quota of team " + spec.team;
    }
    return std::nullopt;
}

} // namespace Hyssop
