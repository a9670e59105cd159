#include "support/capturedoutput.h"

#include <node/workereventlog.h>
#include <observability/logging.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

using namespace Hyssop;
using Hyssop::Testing::CapturedOutput;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};

class CapturedLog
{
public:
    CapturedLog()
    {
        initializeLogging(LogLevel::Info, LogFormat::KeyValue, "front");
        setLogLineLimit(0);
    }

    std::string text() const { return m_output.text(); }

    std::ptrdiff_t lineCount() const { return std::ranges::count(text(), '\n'); }

    /// Returns the offset of @p line, which must be in the log.
    std::size_t expect(const std::string &line) const
    {
        const std::size_t at = text().find(line + "\n");
        cr_assert(at != std::string::npos, "%s", text().c_str());
        return at;
    }

private:
    CapturedOutput m_output;
};

WorkerUnreachable unreachable(const std::string &worker, const std::string &error = "timeout")
{
    return {worker, error, 3, 2, 90ms, 9000ms};
}

WorkerReachableAgain reachableAgain(const std::string &worker)
{
    return {worker, 4, 2, 900ms};
}

} // namespace

Test(workerEventLog, eachKindOfChangeNamesItsInputs)
{
    const CapturedLog log;
    WorkerEventLog workers;
    workers.add(WorkerRegistered{"w", "127.0.0.1:1", "east", 0}, Begin);
    workers.add(WorkerDraining{"w", 7000ms, 2}, Begin);
    workers.add(unreachable("w"), Begin);
    workers.add(reachableAgain("w"), Begin);
    workers.add(WorkerUnregistered{"w", 0, 2, std::nullopt}, Begin);
    workers.add(WorkerQuarantined{"w", 2, 6000ms, 1}, Begin);
    workers.add(WorkerSoundAgain{"w", 1}, Begin);
    workers.add(WorkerRestarted{"w", 10ms, 900ms, 3}, Begin);
    workers.add(WorkerLeaseExpired{"w", 12, 3}, Begin);
    workers.add(WorkerProcessEnded{"w", 3, 2}, Begin);
    cr_assert_eq(log.lineCount(), 10, "the first change of a kind is written immediately");
    log.expect("message=\"worker registered\" worker=w address=127.0.0.1:1 failure_domain=east open_runs=0");
    log.expect("message=\"worker draining\" worker=w remaining_ms=7000 open_runs=2");
    log.expect("message=\"worker unreachable\" worker=w error=timeout unanswered_polls=3 open_runs=2 since_report_ms=90 lease_end_in_ms=9000");
    log.expect("message=\"worker reachable again\" worker=w open_runs=2 failed_polls=4 since_report_ms=900");
    log.expect("message=\"worker unregistered\" worker=w open_runs=2 failed_polls=0 since_report_ms=unknown");
    log.expect("message=\"worker quarantined\" worker=w count=2 remaining_ms=6000 open_runs=1");
    log.expect("message=\"worker sound again\" worker=w open_runs=1");
    log.expect("message=\"worker restarted\" worker=w clock_ms=10 expected_clock_ms=900 open_runs=3");
    log.expect("message=\"leases of unreachable worker expired\" worker=w failed_polls=12 open_runs=3");
    log.expect("message=\"worker process has ended\" worker=w failed_polls=3 ended_runs=2");
}

Test(workerEventLog, changesWithinAShortTimeAreInOneLine)
{
    const CapturedLog log;
    WorkerEventLog workers;
    workers.add(unreachable("first"), Begin);
    workers.add(unreachable("v"), Begin + 20ms);
    workers.add(unreachable("w"), Begin + 60ms);
    workers.writeDue(Begin + 119ms);
    cr_assert_eq(log.lineCount(), 1);
    workers.writeDue(Begin + 120ms);
    workers.writeDue(Begin + 300ms);
    cr_assert_eq(log.lineCount(), 2);
    log.expect("message=\"worker unreachable\" workers=2 error=timeout inputs=unanswered_polls,open_runs,since_report_ms,lease_end_in_ms "
               "changes=v:3,2,90,9000;w:3,2,90,9000 "
               "span_ms=100");
}

Test(workerEventLog, aDelayedSingleChangeHasTheLineOfASingleChange)
{
    const CapturedLog log;
    WorkerEventLog workers;
    workers.add(unreachable("v"), Begin);
    workers.add(unreachable("w", "connection to 127.0.0.1:1: Connection refused"), Begin + 20ms);
    workers.add(unreachable("x", "connection to 127.0.0.1:2: Connection refused"), Begin + 40ms);
    workers.writeAll(Begin + 60ms);
    cr_assert_eq(log.lineCount(), 3);
    log.expect("worker=w error=\"connection to 127.0.0.1:1: Connection refused\" unanswered_polls=3 open_runs=2 since_report_ms=90 lease_end_in_ms=9000");
    log.expect("worker=x error=\"connection to 127.0.0.1:2: Connection refused\" unanswered_polls=3 open_runs=2 since_report_ms=90 lease_end_in_ms=9000");
}

// Guards against one line for each worker when the errors differ only in the worker's address.
Test(workerEventLog, errorsOfConnectionsToDifferentAddressesAreOneCause)
{
    const CapturedLog log;
    WorkerEventLog workers;
    for (int number = 0; number < 20; ++number) {
        const std::string id = std::to_string(number);
        workers.add(unreachable("w" + id, "connection to 127.0.0.1:" + id + ": Connection refused"), Begin);
        workers.add(unreachable("v" + id, "timeout"), Begin);
    }
    workers.writeAll(Begin);
    cr_assert_eq(log.lineCount(), 4);
    cr_assert(log.text().find("workers=19 error=\"Connection refused\" inputs=") != std::string::npos);
    cr_assert(log.text().find("workers=19 error=timeout inputs=") != std::string::npos);
}

// Guards against a reader who takes a worker for unreachable because its lines are out of order.
Test(workerEventLog, theLinesAboutAWorkerAreInTheOrderOfItsChanges)
{
    const CapturedLog log;
    WorkerEventLog workers;
    workers.add(reachableAgain("u"), Begin);
    workers.add(unreachable("v"), Begin);
    workers.add(reachableAgain("w"), Begin + 10ms);
    workers.add(unreachable("x"), Begin + 20ms);
    workers.add(unreachable("w"), Begin + 30ms);
    workers.add(reachableAgain("x"), Begin + 40ms);
    workers.writeAll(Begin + 60ms);
    const std::size_t reachableW = log.expect("worker=w open_runs=2 failed_polls=4 since_report_ms=900");
    const std::size_t unreachableBoth = log.expect("changes=x:3,2,90,9000;w:3,2,90,9000 span_ms=20");
    const std::size_t reachableX = log.expect("worker=x open_runs=2 failed_polls=4 since_report_ms=900");
    cr_assert_lt(reachableW, unreachableBoth);
    cr_assert_lt(unreachableBoth, reachableX);
}

Test(workerEventLog, theLengthOfALineIsBoundedAndNoChangeIsLost)
{
    constexpr int Workers = 120;
    const CapturedLog log;
    WorkerEventLog workers;
    for (int number = 0; number < Workers; ++number) {
        workers.add(reachableAgain("w" + std::to_string(number)), Begin);
    }
    cr_assert_eq(log.lineCount(), 3, "one single change and two full lines");
    workers.writeAll(Begin);
    cr_assert_eq(log.lineCount(), 4);
    for (int number = 1; number < Workers; ++number) {
        cr_assert(log.text().find("w" + std::to_string(number) + ":2,4,900") != std::string::npos, "w%d", number);
    }
}

Test(workerEventLog, theNumberOfCausesIsBoundedAndNoChangeIsLost)
{
    constexpr int Causes = 200;
    const CapturedLog log;
    WorkerEventLog workers;
    for (int round = 0; round < 3; ++round) {
        for (int cause = 0; cause < Causes; ++cause) {
            const std::string name = "w" + std::to_string(round) + "-" + std::to_string(cause);
            workers.add(unreachable(name, "error-" + std::to_string(cause)), Begin + std::chrono::milliseconds(round));
        }
    }
    workers.writeAll(Begin + 10ms);
    for (int cause = 0; cause < Causes; ++cause) {
        cr_assert(log.text().find("worker=w2-" + std::to_string(cause) + " error=error-" + std::to_string(cause) + " ") != std::string::npos, "%d", cause);
    }
    cr_assert_eq(log.lineCount(), 3 * Causes);
}
