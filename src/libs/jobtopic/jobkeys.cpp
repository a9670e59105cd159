#include "jobkeys.h"

namespace Hyssop {

namespace Internal {

constexpr std::string_view SubmissionPrefix = "s/";
constexpr std::string_view CancellationPrefix = "c/";
constexpr std::string_view ProgressPrefix = "p/";
constexpr std::string_view ClaimKey = "owner";
constexpr std::string_view LearnedTailsKey = "tails";
constexpr std::string_view ServingRoomKey = "room";
constexpr std::string_view SilentWorkersKey = "silent";
constexpr std::string_view TakeoverOfferKey = "offer";

static std::string prefixedKey(std::string_view prefix, std::string_view jobId)
{
    return std::string(prefix).append(jobId);
}

} // namespace Internal

std::string submissionKey(std::string_view jobId)
{
    return Internal::prefixedKey(Internal::SubmissionPrefix, jobId);
}

std::string cancellationKey(std::string_view jobId)
{
    return Internal::prefixedKey(Internal::CancellationPrefix, jobId);
}

std::string progressKey(std::string_view jobId)
{
    return Internal::prefixedKey(Internal::ProgressPrefix, jobId);
}

std::string claimKey()
{
    return std::string(Internal::ClaimKey);
}

std::string learnedTailsKey()
{
    return std::string(Internal::LearnedTailsKey);
}

std::string servingRoomKey()
{
    return std::string(Internal::ServingRoomKey);
}

std::string silentWorkersKey()
{
    return std::string(Internal::SilentWorkersKey);
}

std::string takeoverOfferKey()
{
    return std::string(Internal::TakeoverOfferKey);
}

JobKey parseJobKey(std::string_view key)
{
    if (key == Internal::LearnedTailsKey) {
        return {JobKeyKind::LearnedTails, {}};
    }
    if (key == Internal::ClaimKey) {
        return {JobKeyKind::Claim, {}};
    }
    if (key == Internal::ServingRoomKey) {
        return {JobKeyKind::ServingRoom, {}};
    }
    if (key == Internal::SilentWorkersKey) {
        return {JobKeyKind::SilentWorkers, {}};
    }
    if (key == Internal::TakeoverOfferKey) {
        return {JobKeyKind::TakeoverOffer, {}};
    }
    const std::string_view prefix = key.substr(0, Internal::SubmissionPrefix.size());
    const std::string jobId(key.substr(prefix.size()));
    if (prefix == Internal::SubmissionPrefix) {
        return {JobKeyKind::Submission, jobId};
    }
    if (prefix == Internal::CancellationPrefix) {
        return {JobKeyKind::Cancellation, jobId};
    }
    if (prefix == Internal::ProgressPrefix) {
        return {JobKeyKind::Progress, jobId};
    }
    return {};
}

} // namespace Hyssop
