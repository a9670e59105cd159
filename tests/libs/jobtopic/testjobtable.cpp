#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <ports/keyedrecord.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

using namespace Hyssop;

namespace {

std::string submission(const std::string &queue = "batch")
{
    Wire::StepJob job;
    job.queue = queue;
    job.payload = "p";
    job.steps.emplace_back();
    return encode(job);
}

std::string progress(Wire::JobPhase::type phase)
{
    Wire::JobProgress value;
    value.phase = phase;
    return encode(value);
}

} // namespace

Test(jobKeys, keysAreParsedAsWritten)
{
    cr_assert_eq(parseJobKey(submissionKey("a1")).kind, JobKeyKind::Submission);
    cr_assert_eq(parseJobKey(cancellationKey("a1")).kind, JobKeyKind::Cancellation);
    cr_assert_eq(parseJobKey(progressKey("a1")).jobId, "a1");
    cr_assert_eq(parseJobKey(claimKey()).kind, JobKeyKind::Claim);
    cr_assert_eq(parseJobKey(learnedTailsKey()).kind, JobKeyKind::LearnedTails);
    cr_assert_eq(parseJobKey("").kind, JobKeyKind::Unknown);
    cr_assert_eq(parseJobKey("x").kind, JobKeyKind::Unknown);
}

Test(jobTable, aResentSubmissionRemainsOneJob)
{
    JobTable table;
    table.apply({0, submissionKey("a"), submission("first")});
    table.apply({1, progressKey("a"), progress(Wire::JobPhase::Running)});
    table.apply({2, submissionKey("a"), submission("second")});
    cr_assert_eq(table.find("a")->submission->queue, "first");
    cr_assert_eq(table.find("a")->phase(), Wire::JobPhase::Running);
}

Test(jobTable, aCancellationBeforeTheSubmissionTakesEffect)
{
    JobTable table;
    table.apply({0, cancellationKey("a"), "1"});
    cr_assert_null(table.find("a"));
    table.apply({1, submissionKey("a"), submission()});
    cr_assert_eq(table.find("a")->phase(), Wire::JobPhase::Cancelled);
}

Test(jobTable, aCompletedJobStaysCompletedWhenCancelled)
{
    JobTable table;
    table.apply({0, submissionKey("a"), submission()});
    table.apply({1, progressKey("a"), progress(Wire::JobPhase::Completed)});
    table.apply({2, cancellationKey("a"), "1"});
    cr_assert_eq(table.find("a")->phase(), Wire::JobPhase::Completed);
}

Test(jobTable, anOlderRecordDoesNotRevertAJob)
{
    JobTable table;
    table.apply({0, submissionKey("a"), submission()});
    table.apply({9, progressKey("a"), progress(Wire::JobPhase::Completed)});
    table.apply({5, progressKey("a"), progress(Wire::JobPhase::Running)});
    cr_assert_eq(table.find("a")->phase(), Wire::JobPhase::Completed);
}

Test(jobTable, countsPendingJobsOfAQueue)
{
    JobTable table;
    table.apply({0, submissionKey("a"), submission()});
    table.apply({1, submissionKey("b"), submission()});
    table.apply({2, submissionKey("c"), submission("other")});
    table.apply({3, progressKey("b"), progress(Wire::JobPhase::Running)});
    cr_assert_eq(table.pendingJobCount("batch"), 1);
}

Test(jobTable, malformedRecordsAreCountedAndIgnored)
{
    JobTable table;
    table.apply({0, submissionKey("a"), submission()});
    table.apply({1, progressKey("a"), "\xff\xff"});
    table.apply({2, submissionKey("b"), "garbage"});
    table.apply({3, claimKey(), "garbage"});
    table.apply({4, "strange", "x"});
    cr_assert_eq(table.malformedRecords(), 4);
    cr_assert_eq(table.find("a")->phase(), Wire::JobPhase::Pending);
    cr_assert_null(table.find("b"));
    cr_assert_not(table.claim().has_value());
}

Test(jobTable, aRemovedJobIsNotFound)
{
    JobTable table;
    table.apply({0, submissionKey("a"), submission()});
    table.apply({1, progressKey("a"), progress(Wire::JobPhase::Completed)});
    table.apply({2, submissionKey("a"), std::nullopt});
    table.apply({3, cancellationKey("a"), std::nullopt});
    table.apply({4, progressKey("a"), std::nullopt});
    cr_assert_null(table.find("a"));
    cr_assert(table.jobs().empty());
}

Test(jobTable, theReducedRecordOfAnEndedJobReplacesItsSubmission)
{
    JobTable table;
    table.apply({0, submissionKey("a"), submission()});
    table.apply({1, progressKey("a"), progress(Wire::JobPhase::Completed)});
    Wire::StepJob reduced;
    reduced.queue = "batch";
    table.apply({2, submissionKey("a"), encode(reduced)});
    cr_assert(table.find("a")->submission->steps.empty());
    cr_assert(table.find("a")->submission->payload.empty());
    cr_assert_eq(table.find("a")->phase(), Wire::JobPhase::Completed);
    table.apply({3, submissionKey("a"), submission("resent")});
    cr_assert_eq(table.find("a")->phase(), Wire::JobPhase::Completed, "a resent submission does not revive the job");
}
