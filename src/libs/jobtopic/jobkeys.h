#pragma once

#include <string>
#include <string_view>

namespace Hyssop {

/// Kind of a record of the job topic, as given by its key.
enum class JobKeyKind {
    Submission, // Wire::StepJob, written by the instance that accepted the job
    Cancellation, // placeholder value, written by the instance that accepted the cancellation
    Progress, // Wire::JobProgress, written by the owner
    Claim, // Wire::TopicClaim, written to acquire, renew or release the ownership
    LearnedTails, // Wire::LearnedTails, written by the owner
    ServingRoom, // Wire::ServingRoom, written by the owner
    SilentWorkers, // Wire::SilentWorkers, written by the owner
    TakeoverOffer, // Wire::TakeoverOffer, written by an instance that could take the topic over
    Unknown,
};

/// Decoded key of a record of the job topic.
struct JobKey
{
    JobKeyKind kind = JobKeyKind::Unknown;
    std::string jobId;
};

std::string submissionKey(std::string_view jobId);
std::string cancellationKey(std::string_view jobId);
std::string progressKey(std::string_view jobId);
std::string claimKey();
std::string learnedTailsKey();
std::string servingRoomKey();
std::string silentWorkersKey();
std::string takeoverOfferKey();

JobKey parseJobKey(std::string_view key);

} // namespace Hyssop
