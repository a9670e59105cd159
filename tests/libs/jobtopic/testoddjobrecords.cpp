#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <ports/keyedrecord.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

#include <functional>
#include <limits>
#include <vector>

using namespace Hyssop;

namespace {

constexpr std::int32_t LargestCount = std::numeric_limits<std::int32_t>::max();
constexpr std::int64_t LargestNumber = std::numeric_limits<std::int64_t>::max();
constexpr double NoNumber = std::numeric_limits<double>::quiet_NaN();
constexpr double Infinite = std::numeric_limits<double>::infinity();

Wire::StepJob singleStep()
{
    Wire::StepJob job;
    job.queue = "batch";
    job.steps.emplace_back();
    return job;
}

Wire::JobProgress progressWithMark()
{
    Wire::JobProgress progress;
    progress.phase = Wire::JobPhase::Running;
    progress.steps.emplace_back();
    progress.steps[0].marks.emplace_back();
    progress.steps[0].marks[0].run = 1;
    return progress;
}

} // namespace

Test(oddJobRecords, aSubmissionOutOfRangeIsIgnored)
{
    const std::vector<std::function<void(Wire::StepJob &)>> changes{
        [](Wire::StepJob &job) { job.steps[0].taskCount = LargestCount; },
        [](Wire::StepJob &job) { job.steps[0].taskCount = -1; },
        [](Wire::StepJob &job) { job.steps[0].milliCores = LargestNumber; },
        [](Wire::StepJob &job) { job.steps[0].milliCores = -LargestNumber; },
        [](Wire::StepJob &job) { job.steps[0].memoryMb = LargestNumber; },
        [](Wire::StepJob &job) { job.steps[0].accelerators = -1; },
        [](Wire::StepJob &job) { job.steps[0].estimateMs = LargestNumber; },
        [](Wire::StepJob &job) { job.steps[0].estimateMs = -1; },
        [](Wire::StepJob &job) { job.steps[0].after.push_back(0); },
        [](Wire::StepJob &job) { job.steps[0].after.push_back(-1); },
        [](Wire::StepJob &job) { job.acceptedAtMs = LargestNumber; },
        [](Wire::StepJob &job) { job.startAtMs = LargestNumber; },
        [](Wire::StepJob &job) { job.intervalMs = LargestNumber; },
        [](Wire::StepJob &job) { job.repeatCount = -1; },
    };
    JobTable table;
    table.apply({0, submissionKey("usual"), encode(singleStep())});
    for (std::size_t index = 0; index < changes.size(); ++index) {
        Wire::StepJob job = singleStep();
        changes[index](job);
        table.apply({static_cast<std::int64_t>(index) + 1, submissionKey("odd"), encode(job)});
        cr_expect_null(table.find("odd"), "change %zu", index);
        cr_expect_eq(table.malformedRecords(), index + 1);
    }
    cr_assert_not_null(table.find("usual"));
}

Test(oddJobRecords, progressOutOfRangeIsIgnored)
{
    const std::vector<std::function<void(Wire::JobProgress &)>> changes{
        [](Wire::JobProgress &progress) { progress.phase = static_cast<Wire::JobPhase::type>(7); },
        [](Wire::JobProgress &progress) { progress.endedAtMs = LargestNumber; },
        [](Wire::JobProgress &progress) { progress.finishedOccurrences = -LargestCount; },
        [](Wire::JobProgress &progress) { progress.finishedOccurrences = LargestCount; },
        [](Wire::JobProgress &progress) { progress.steps[0].occurrence = LargestCount; },
        [](Wire::JobProgress &progress) { progress.steps[0].occurrence = -1; },
        [](Wire::JobProgress &progress) { progress.steps[0].step = -1; },
        [](Wire::JobProgress &progress) { progress.steps[0].marks[0].index = -1; },
        [](Wire::JobProgress &progress) { progress.steps[0].marks[0].run = LargestCount; },
        [](Wire::JobProgress &progress) { progress.steps[0].marks[0].run = -1; },
        [](Wire::JobProgress &progress) { progress.steps[0].marks[0].failures = LargestCount; },
    };
    JobTable table;
    table.apply({0, submissionKey("a"), encode(singleStep())});
    table.apply({1, progressKey("a"), encode(progressWithMark())});
    for (std::size_t index = 0; index < changes.size(); ++index) {
        Wire::JobProgress progress = progressWithMark();
        progress.steps[0].marks[0].checkpoint = "odd";
        changes[index](progress);
        table.apply({static_cast<std::int64_t>(index) + 2, progressKey("a"), encode(progress)});
        cr_expect(table.find("a")->progress == progressWithMark(), "change %zu", index);
    }
}

Test(oddJobRecords, aClaimOutOfRangeIsIgnored)
{
    JobTable table;
    Wire::TopicClaim claim;
    claim.term = 3;
    table.apply({0, claimKey(), encode(claim)});
    std::int64_t offset = 0;
    for (const std::int64_t term : {LargestNumber, LargestNumber / 1000, std::int64_t{-1}}) {
        claim.term = term;
        table.apply({++offset, claimKey(), encode(claim)});
        cr_expect_eq(table.claim()->term, 3);
    }
    claim.term = 4;
    claim.processorShare = NoNumber;
    table.apply({++offset, claimKey(), encode(claim)});
    cr_expect_eq(table.claim()->term, 3);
}

Test(oddJobRecords, learnedValuesThatAreNoNumbersAreIgnored)
{
    for (const double odd : {NoNumber, Infinite, -Infinite, 1e308}) {
        for (int field = 0; field < 4; ++field) {
            Wire::LearnedTails tails;
            tails.tails.emplace_back();
            tails.tails[0].image = "odd";
            tails.tails[0].neighbours.emplace_back();
            double *values[] = {
                &tails.tails[0].baseMs, &tails.tails[0].ownUtilization, &tails.tails[0].neighbours[0].coefficient, &tails.tails[0].neighbours[0].variance};
            *values[field] = odd;
            JobTable table;
            table.apply({0, learnedTailsKey(), encode(tails)});
            cr_expect(table.learnedTails().tails.empty(), "field %d: %g", field, odd);
        }
    }
}

Test(oddJobRecords, aShortRecordThatAnnouncesALongListIsIgnored)
{
    JobTable table;
    // A list of 15 million steps, and one of 15 million lists, in a few bytes.
    table.apply({0, submissionKey("a"), std::string("\x39\xfc\x80\x80\x80\x07", 6)});
    table.apply({1, progressKey("a"), std::string("\x29\xfc\x80\x80\x80\x07", 6)});
    table.apply({2, submissionKey("b"), std::string("\x39\xf9\xff\xff\xff\xff\x07", 7)});
    cr_assert_eq(table.malformedRecords(), 3);
    cr_assert_null(table.find("a"));
}

Test(oddJobRecords, keysWithoutJobNameNoJob)
{
    JobTable table;
    for (const std::string &key : {std::string(), std::string("s"), std::string("x"), std::string("\xff\xfe"), std::string("\0\0\0", 3)}) {
        table.apply({0, key, encode(singleStep())});
    }
    cr_assert(table.jobs().empty());
}
