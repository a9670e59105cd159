#include <jobs/jobledger.h>

#include <criterion/criterion.h>

#include <chrono>

using namespace Hyssop;
using std::chrono::hours;

namespace {

constexpr hours Retention{24};

// Builds a stream record by record and applies it to a ledger; wait() advances the time of the log.
class Stream
{
public:
    explicit Stream(JobLedger &ledger, std::int64_t first = 0)
        : m_ledger(ledger)
        , m_next(first)
    {
    }

    LedgerVerdict add(const Wire::Record &record)
    {
        const LogPosition position{m_next++, 0};
        return m_ledger.apply(position, m_time, record);
    }
    void wait(hours duration) { m_time += duration; }
    WallTime time() const { return m_time; }

private:
    JobLedger &m_ledger;
    std::int64_t m_next;
    WallTime m_time;
};

Wire::Record claim(const std::string &instance = "s")
{
    Wire::OwnershipClaim value;
    value.instance = instance;
    Wire::Record record;
    record.__set_ownershipClaim(value);
    return record;
}

Wire::Record submit(const std::string &jobId, const std::string &transferId = {}, bool cancelled = false)
{
    Wire::JobSubmitted value;
    value.spec.jobId = jobId;
    value.transferId = transferId;
    value.cancelRequested = cancelled;
    Wire::Record record;
    record.__set_jobSubmitted(value);
    return record;
}

Wire::Record cancel(const std::string &jobId)
{
    Wire::JobCancelled value;
    value.jobId = jobId;
    Wire::Record record;
    record.__set_jobCancelled(value);
    return record;
}

Wire::Record intent(std::int64_t term, int attempt, const std::string &worker = "w")
{
    Wire::AttemptIntent value;
    value.term = term;
    value.jobId = "j";
    value.attempt = attempt;
    value.worker = worker;
    Wire::Record record;
    record.__set_attemptIntent(value);
    return record;
}

Wire::Record attemptEnd(std::int64_t term, int attempt, Wire::AttemptOutcome::type outcome, const std::string &checkpoint = {})
{
    Wire::AttemptEnded value;
    value.term = term;
    value.jobId = "j";
    value.attempt = attempt;
    value.outcome = outcome;
    value.checkpoint = checkpoint;
    Wire::Record record;
    record.__set_attemptEnded(value);
    return record;
}

Wire::Record transfer(std::int64_t term, const std::string &transferId)
{
    Wire::JobTransferred value;
    value.term = term;
    value.jobId = "j";
    value.toDomain = "west";
    value.transferId = transferId;
    Wire::Record record;
    record.__set_jobTransferred(value);
    return record;
}

Wire::Record snapshotRecord(const Wire::JobSnapshot &snapshot)
{
    Wire::Record record;
    record.__set_jobSnapshot(snapshot);
    return record;
}

constexpr LedgerVerdict Accepted = LedgerVerdict::Accepted;
constexpr LedgerVerdict Ignored = LedgerVerdict::Ignored;

} // namespace

// Guards against two open attempts of a job and against an end that counts twice.
Test(jobledger, keepsOneOpenAttempt)
{
    JobLedger ledger(Retention);
    Stream stream(ledger);
    stream.add(claim());
    cr_assert(stream.add(submit("j")) == Accepted);
    cr_assert(stream.add(submit("j")) == Ignored);
    cr_assert(stream.add(intent(0, 2)) == Ignored);
    cr_assert(stream.add(intent(0, 1)) == Accepted);
    cr_assert(stream.add(intent(0, 1)) == Ignored);
    cr_assert(stream.add(intent(0, 2)) == Ignored);
    cr_assert(stream.add(attemptEnd(0, 1, Wire::AttemptOutcome::Evicted, "c1")) == Accepted);
    cr_assert(stream.add(attemptEnd(0, 1, Wire::AttemptOutcome::Evicted, "c2")) == Ignored);
    cr_assert_eq(ledger.job("j")->checkpoint, "c1");
    cr_assert(stream.add(intent(0, 2)) == Accepted);
    cr_assert(stream.add(attemptEnd(0, 2, Wire::AttemptOutcome::Finished)) == Accepted);
    cr_assert(stream.add(intent(0, 3)) == Ignored);
}

// Guards against records of a previous owner that take effect after a claim.
Test(jobledger, ignoresRecordsOfOldTerms)
{
    JobLedger ledger(Retention);
    Stream stream(ledger);
    stream.add(claim("first"));
    stream.add(submit("j"));
    stream.add(intent(0, 1));
    stream.add(claim("second"));
    cr_assert_eq(ledger.term(), 3);
    cr_assert(stream.add(attemptEnd(0, 1, Wire::AttemptOutcome::Finished)) == Ignored);
    cr_assert(stream.add(attemptEnd(3, 1, Wire::AttemptOutcome::Lost)) == Accepted);
    cr_assert(stream.add(intent(0, 2)) == Ignored);
    cr_assert(stream.add(transfer(0, "t")) == Ignored);
    cr_assert(stream.add(intent(3, 2)) == Accepted);
}

// Guards against a cancellation that is forgotten while the job runs, and against a job that starts after it.
Test(jobledger, cancellationEndsTheJob)
{
    JobLedger ledger(Retention);
    Stream stream(ledger);
    stream.add(claim());
    stream.add(submit("pending"));
    stream.add(cancel("pending"));
    cr_assert(ledger.job("pending")->state == JobState::Ended);
    stream.add(submit("j"));
    stream.add(intent(0, 1));
    cr_assert(stream.add(cancel("j")) == Accepted);
    cr_assert(ledger.job("j")->state == JobState::Running);
    stream.add(attemptEnd(0, 1, Wire::AttemptOutcome::Evicted));
    cr_assert(ledger.job("j")->state == JobState::Ended);
    cr_assert(ledger.job("j")->outcome == Wire::AttemptOutcome::Cancelled);
}

// Guards against a job that is retried forever, and against one that fails because of a single faulty worker.
Test(jobledger, endsJobAfterFailuresOnDistinctWorkers)
{
    JobLedger ledger(Retention);
    Stream stream(ledger);
    stream.add(claim());
    stream.add(submit("j"));
    int attempt = 0;
    for (const char *worker : {"a", "a", "a", "b"}) {
        ++attempt;
        stream.add(intent(0, attempt, worker));
        stream.add(attemptEnd(0, attempt, Wire::AttemptOutcome::Failed));
        cr_assert(ledger.job("j")->state == JobState::Pending);
    }
    stream.add(intent(0, 5, "c"));
    stream.add(attemptEnd(0, 5, Wire::AttemptOutcome::Failed));
    cr_assert(ledger.job("j")->state == JobState::Ended);
    cr_assert_eq(ledger.job("j")->failedWorkers.size(), 3);
}

// Guards against a repeated transfer that submits the job twice, and against a returning job that is refused.
Test(jobledger, acceptsEachTransferOnce)
{
    JobLedger ledger(Retention);
    Stream stream(ledger);
    stream.add(claim());
    cr_assert(stream.add(submit("j", "west/1")) == Accepted);
    cr_assert(stream.add(submit("j", "west/1")) == Ignored);
    cr_assert(stream.add(transfer(0, "east/1")) == Accepted);
    cr_assert(stream.add(submit("j", "west/1")) == Ignored);
    cr_assert(stream.add(submit("j", "west/2")) == Accepted);
    cr_assert(ledger.job("j")->state == JobState::Pending);
}

// Guards against a cancellation that is lost because it arrives while the job changes its domain.
Test(jobledger, cancellationFollowsTransfer)
{
    JobLedger first(Retention);
    Stream from(first);
    from.add(claim());
    from.add(submit("j"));
    from.add(transfer(0, "east/1"));
    cr_assert(from.add(cancel("j")) == Accepted);
    cr_assert(first.job("j")->cancelRequested);

    JobLedger second(Retention);
    Stream to(second);
    to.add(submit("j", "east/1"));
    cr_assert(to.add(submit("j", "east/1", true)) == Accepted);
    cr_assert(second.job("j")->outcome == Wire::AttemptOutcome::Cancelled);
    cr_assert(second.job("j")->state == JobState::Ended);
}

// Guards against a cancellation that neither ends the job nor lets it run when the job returns.
Test(jobledger, cancellationEndsReturningJob)
{
    JobLedger ledger(Retention);
    Stream stream(ledger);
    stream.add(claim());
    stream.add(submit("j"));
    stream.add(transfer(0, "east/1"));
    cr_assert(stream.add(cancel("j")) == Accepted);
    cr_assert(stream.add(submit("j", "west/1")) == Accepted);
    cr_assert(ledger.job("j")->state == JobState::Ended);
}

// Guards against a reader that treats a stream which begins at the log's first offset as truncated: it would keep every
// record a second time and wait for snapshots that it does not need.
Test(jobledger, firstOffsetIsNotTruncated)
{
    constexpr std::int64_t FirstOffsetOfPlatform = 1;
    JobLedger ledger(Retention);
    Stream stream(ledger, FirstOffsetOfPlatform);
    stream.add(claim());
    cr_assert(stream.add(cancel("unknown")) == Ignored);
    cr_assert(!ledger.awaitsSnapshot("unknown"));

    JobLedger late(Retention);
    Stream rest(late, FirstOffsetOfPlatform + 1);
    cr_assert(rest.add(cancel("unknown")) == LedgerVerdict::Deferred);
}

// Guards against a job that is lost when the log truncates its first records: a snapshot of it is due before that, and
// a reader of the rest of the stream reaches the same state as a reader of the whole stream.
Test(jobledger, snapshotReplacesTruncatedRecords)
{
    JobLedger complete(Retention);
    Stream stream(complete);
    stream.add(claim());
    stream.add(submit("j"));
    stream.add(intent(0, 1, "a"));
    cr_assert(complete.dueSnapshots(stream.time() + hours(11), 10).empty());
    const auto due = complete.dueSnapshots(stream.time() + hours(12), 10);
    cr_assert_eq(due.size(), 1);
    stream.wait(hours(13));
    // The snapshot covers everything up to offset 2. A reader that sees only offset 4 and later misses offset 3.
    JobLedger late(Retention);
    Stream rest(late, 4);
    Wire::JobSnapshot snapshot = due.front();
    cr_assert_eq(snapshot.readUpTo, 2);
    cr_assert(rest.add(snapshotRecord(snapshot)) == Accepted);
    cr_assert(late.job("j")->provisional, "the reader can't see offset 3");

    JobLedger exact(Retention);
    Stream everythingAfter(exact, 3);
    cr_assert(everythingAfter.add(snapshotRecord(snapshot)) == Accepted);
    cr_assert(!exact.job("j")->provisional, "the snapshot and the reader together miss nothing");

    JobLedger reader(Retention);
    Stream visible(reader, 2);
    cr_assert(visible.add(intent(0, 1, "a")) == LedgerVerdict::Deferred);
    const Wire::Record end = attemptEnd(0, 1, Wire::AttemptOutcome::Evicted, "c1");
    cr_assert(stream.add(end) == Accepted);
    cr_assert(visible.add(end) == LedgerVerdict::Deferred);
    cr_assert(stream.add(snapshotRecord(snapshot)) == Ignored);
    cr_assert(visible.add(snapshotRecord(snapshot)) == Accepted);
    cr_assert(!reader.job("j")->provisional);
    cr_assert(reader.job("j")->state == complete.job("j")->state);
    cr_assert_eq(reader.job("j")->checkpoint, "c1");
    cr_assert(visible.add(intent(0, 2, "b")) == Accepted);
    cr_assert(stream.add(intent(0, 2, "b")) == Accepted);
}

// Guards against a repeated submission that runs an ended job again for a reader that sees only the repetition.
Test(jobledger, snapshotKeepsEndedJobEnded)
{
    JobLedger complete(Retention);
    Stream stream(complete);
    stream.add(claim());
    stream.add(submit("j"));
    stream.add(intent(0, 1));
    stream.add(attemptEnd(0, 1, Wire::AttemptOutcome::Finished));
    cr_assert(stream.add(submit("j")) == Ignored);
    stream.wait(hours(12));
    const auto due = complete.dueSnapshots(stream.time(), 10);
    cr_assert_eq(due.size(), 1);
    JobLedger reader(Retention);
    Stream visible(reader, 4);
    visible.add(submit("j"));
    cr_assert(visible.add(snapshotRecord(due.front())) == Accepted);
    cr_assert(reader.job("j")->state == JobState::Ended);
}
