#include <dispatch/earlierleases.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};
constexpr TimePoint LatestEnd = Begin + 9200ms;
constexpr std::int64_t Term = 7;
constexpr std::size_t MostListed = 256;

Wire::SilentWorkers record(std::int64_t term, const std::string &worker, std::chrono::milliseconds lease)
{
    Wire::SilentWorkers value;
    value.term = term;
    value.workers.emplace_back();
    value.workers[0].worker = worker;
    value.workers[0].leaseMs = lease.count();
    return value;
}

bool lists(const std::optional<Wire::SilentWorkers> &silent, const std::string &worker)
{
    return silent && std::ranges::any_of(silent->workers, [&](const Wire::SilentWorker &listed) { return listed.worker == worker; });
}

/// A term with a silent worker "w" that a durable record lists.
struct ListedWorker
{
    ListedWorker()
    {
        leases.addWorker("w");
        leases.takeRecord(Begin);
        listed = leases.takeRecord(Begin + 2s);
        leases.recordStored();
    }

    EarlierLeases leases{Term, LatestEnd};
    std::optional<Wire::SilentWorkers> listed;
};

} // namespace

Test(earlierLeases, aRecordTellsHowLongTheLeasesOfASilentWorkerLast)
{
    const ListedWorker term;
    cr_assert(lists(term.listed, "w"));
    cr_assert_eq(term.listed->term, Term);
    cr_assert_eq(term.listed->workers[0].leaseMs, 7200);
    cr_assert_not(term.leases.canGrant("w"));
    cr_assert(term.leases.canGrant("other"));
}

// Guards against a lease that is granted while the record that lists its worker may be the newest one that the next owner finds.
Test(earlierLeases, aListedWorkerGetsNoLeaseBeforeARecordWithoutItIsDurable)
{
    ListedWorker term;
    term.leases.handleReport("w");
    cr_assert_not(term.leases.canGrant("w"));
    const auto without = term.leases.takeRecord(Begin + 3s);
    cr_assert(without && without->workers.empty());
    cr_assert_not(term.leases.canGrant("w"));
    cr_assert_not(term.leases.takeRecord(Begin + 4s), "two records are being appended");
    cr_assert(term.leases.recordStored());
    cr_assert(term.leases.canGrant("w"));
}

// Guards against a worker that reports while the first record, which lists it, is being appended.
Test(earlierLeases, aWorkerInARecordThatIsBeingAppendedGetsNoLease)
{
    EarlierLeases leases(Term, LatestEnd);
    leases.addWorker("w");
    leases.takeRecord(Begin);
    cr_assert(leases.canGrant("w"));
    cr_assert(lists(leases.takeRecord(Begin + 2s), "w"));
    leases.handleReport("w");
    cr_assert_not(leases.canGrant("w"));
    leases.recordStored();
    cr_assert_not(leases.canGrant("w"));
    cr_assert_not(lists(leases.takeRecord(Begin + 3s), "w"));
    leases.recordStored();
    cr_assert(leases.canGrant("w"));
}

// Guards against leases that are renewed later in each takeover, and against records without need.
Test(earlierLeases, workersThatReportSoonAreNotListed)
{
    EarlierLeases leases(Term, LatestEnd);
    leases.addWorker("w");
    cr_assert_not(leases.takeRecord(Begin));
    cr_assert_not(leases.takeRecord(Begin + 900ms));
    leases.handleReport("w");
    cr_assert_not(leases.takeRecord(Begin + 5s));
    cr_assert(leases.canGrant("w"));
}

Test(earlierLeases, aWorkerThatHasReportedIsNotListedAgain)
{
    ListedWorker term;
    term.leases.handleReport("w");
    term.leases.takeRecord(Begin + 3s);
    term.leases.recordStored();
    cr_assert_not(term.leases.takeRecord(Begin + 9s));
}

Test(earlierLeases, onlyTheRecordOfTheTermBeforeIsUsed)
{
    for (const std::int64_t term : {Term - 2, Term, Term + 1}) {
        EarlierLeases leases(Term, LatestEnd);
        leases.restore(record(term, "w", 1s), Begin);
        cr_expect_eq((leases.endOn("w") - LatestEnd).count(), 0, "term %ld", static_cast<long>(term));
    }
    EarlierLeases leases(Term, LatestEnd);
    cr_expect_eq(leases.recordedWorkers(), 0);
    leases.restore(record(Term - 1, "w", 1s), Begin - 400ms);
    cr_expect_eq(leases.recordedWorkers(), 1);
    cr_expect_eq((leases.endOn("w") - (Begin + 600ms)).count(), 0);
    cr_expect_eq((leases.endOn("other") - LatestEnd).count(), 0);
}

Test(earlierLeases, aRecordNeverMakesTheWaitLonger)
{
    EarlierLeases leases(Term, LatestEnd);
    leases.restore(record(Term - 1, "w", 20s), Begin);
    cr_assert_eq((leases.endOn("w") - LatestEnd).count(), 0);
}

// Guards against a chain of short terms in which the time that has passed is lost.
Test(earlierLeases, aWorkerThatWasSilentBeforeIsListedEarlierWithTheSameEnd)
{
    EarlierLeases leases(Term, LatestEnd);
    leases.restore(record(Term - 1, "w", 3s), Begin);
    leases.addWorker("w");
    leases.addWorker("other");
    leases.takeRecord(Begin);
    const auto silent = leases.takeRecord(Begin + 400ms);
    cr_assert(lists(silent, "w") && !lists(silent, "other"));
    cr_assert_eq(silent->workers[0].leaseMs, 2600);
}

Test(earlierLeases, leasesThatHaveEndedAreRecordedAsEnded)
{
    EarlierLeases leases(Term, LatestEnd);
    leases.addWorker("w");
    leases.takeRecord(Begin);
    const auto silent = leases.takeRecord(LatestEnd + 5s);
    cr_assert(lists(silent, "w"));
    cr_assert_eq(silent->workers[0].leaseMs, 0);
}

// Guards against records that grow with the fleet: every instance reads them.
Test(earlierLeases, theNumberOfListedWorkersIsBounded)
{
    EarlierLeases leases(Term, LatestEnd);
    for (std::size_t index = 0; index < 4 * MostListed; ++index) {
        leases.addWorker("w" + std::to_string(index));
    }
    leases.takeRecord(Begin);
    cr_assert_eq(leases.takeRecord(Begin + 2s)->workers.size(), MostListed);
}

// Guards against a record for each of many workers that return one after the other.
Test(earlierLeases, recordsAreAtLeastATenthOfASecondApart)
{
    EarlierLeases leases(Term, LatestEnd);
    for (int index = 0; index < 100; ++index) {
        leases.addWorker("w" + std::to_string(index));
    }
    leases.takeRecord(Begin);
    int records = 0;
    for (int index = 0; index < 100; ++index) {
        records += leases.takeRecord(Begin + 2s + index * 10ms) ? 1 : 0;
        leases.recordStored();
        leases.handleReport("w" + std::to_string(index));
    }
    cr_assert_eq(records, 10);
}
