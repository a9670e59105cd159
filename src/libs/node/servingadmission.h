#pragma once

#include "admissiondecision.h"

#include <jobtopic/servingsubmission.h>
#include <utils/clock.h>

#include <map>
#include <optional>
#include <string>

namespace Hyssop {

class JobTable;
struct ClusterConfig;
struct JobKey;

namespace Wire {
class StepJob;
}

/// Decides whether an instance accepts a job with serving tasks.
///
/// Load pattern: serving jobs arrive faster than others are cancelled, and each keeps its capacity until it is cancelled. Accepted
/// without a limit, they take the reserve of the short tasks for good, which then find no room. The owner publishes how much
/// capacity further serving tasks may reserve. A job that needs more than is left of that is refused; what was submitted since is
/// subtracted, because all instances accept jobs at the same time. Without a recent record of the current owner all jobs are accepted.
class ServingAdmission
{
public:
    /// @p table must outlive this object.
    explicit ServingAdmission(const JobTable &table);

    /// Must be called after a record of the job topic was applied to the table.
    void jobRecordApplied(const JobKey &key, TimePoint now);

    /// Decides on a job that is neither in the table nor being submitted. @p config is null while it is unknown.
    AdmissionDecision decide(const std::string &jobId, const Wire::StepJob &job, const ClusterConfig *config, TimePoint now) const;

    /// Notes that @p job is being submitted. It counts until its record has been read or an instance would have read it.
    void beginSubmission(const std::string &jobId, const Wire::StepJob &job, TimePoint now);

    /// Notes that the last attempt to submit the job was not recorded and never will be.
    void withdrawSubmission(const std::string &jobId);

    /// Returns true if the job was submitted through this instance and its record may exist, although it has not been read.
    bool isSubmitted(const std::string &jobId, TimePoint now) const;

private:
    struct Submission
    {
        ServingSubmission job;
        TimePoint at{}; // of the last attempt
        int attempts = 0; // that are not withdrawn
    };

    /// Returns the room of @p workerPool according to the current owner, if it is known.
    std::optional<std::int64_t> publishedRoom(const std::string &workerPool, TimePoint now) const;

    /// Returns what was submitted to @p workerPool since the room was computed.
    std::int64_t submittedSince(const std::string &workerPool, const ClusterConfig &config, TimePoint now) const;

    const JobTable &m_table;
    TimePoint m_roomReadAt{};
    std::map<std::string, Submission> m_submissions; // through this instance, by job
};

} // namespace Hyssop
