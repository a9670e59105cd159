#include "support/capturedoutput.h"

#include <node/runlog.h>
#include <observability/logging.h>

#include <criterion/criterion.h>

#include <algorithm>

using namespace Hyssop;
using Hyssop::Testing::CapturedOutput;
using namespace std::chrono_literals;

namespace {

constexpr int LineLimit = 400;
constexpr TimePoint Begin{1000s};

class CapturedLog
{
public:
    CapturedLog()
    {
        initializeLogging(LogLevel::Info, LogFormat::KeyValue, "front");
        setLogLineLimit(LineLimit);
    }

    std::string text() const { return m_output.text(); }

    std::ptrdiff_t lineCount() const { return std::ranges::count(text(), '\n'); }

    void expect(const std::string &line) const { cr_assert(text().find(line + "\n") != std::string::npos, "%s", text().c_str()); }

private:
    CapturedOutput m_output;
};

StartCommand start(const std::string &job, int index, int run, const std::string &worker)
{
    StartCommand command;
    command.worker.id = worker;
    command.task = {job, 0, 1, index};
    command.run = run;
    return command;
}

RunEnded completion(const std::string &job, int index, int run)
{
    RunEnded end;
    end.task = {job, 0, 1, index};
    end.run = run;
    end.endReason = RunEndReason::Completed;
    return end;
}

} // namespace

Test(runLog, manyStartsOfAJobAreInOneLine)
{
    const CapturedLog log;
    RunLog runs;
    for (int index = 0; index < 50; ++index) {
        runs.started(start("j", index, 1, index < 20 ? "v" : "w"), Begin, Begin);
    }
    runs.writeDue(Begin + 900ms);
    cr_assert_eq(log.lineCount(), 0);
    runs.writeDue(Begin + 1s);
    runs.writeDue(Begin + 2s);
    cr_assert_eq(log.lineCount(), 1);
    log.expect("message=\"run results\" job_id=j step=0.1 started=v:0-19;w:20-49 withdrawn=\"\" completed=\"\" other=\"\" span_ms=1000");
}

Test(runLog, laterRunsGapsAndWithdrawnStartsAreNamed)
{
    const CapturedLog log;
    RunLog runs;
    for (const int index : {3, 0, 1, 7}) {
        runs.started(start("j", index, 1, "w"), Begin, Begin);
    }
    runs.started(start("j", 2, 2, "w"), Begin, Begin);
    runs.withdrawn({{"j", 0, 1, 1}, 1, "w"}, Begin);
    runs.withdrawn({{"j", 0, 1, 1}, 2, "v"}, Begin);
    runs.completed(completion("j", 5, 1), Begin + 100ms);
    runs.completed(completion("j", 6, 3), Begin + 100ms);
    runs.writeAll(Begin + 200ms);
    log.expect("message=\"run results\" job_id=j step=0.1 started=w:0-1,3,7,2/2 withdrawn=v:1/2;w:1 completed=5,6/3 other=\"\" span_ms=200");
}

Test(runLog, theRunsOfAJobAreWrittenBeforeItsEnd)
{
    const CapturedLog log;
    RunLog runs;
    runs.started(start("j", 0, 1, "w"), Begin, Begin);
    runs.started(start("i", 0, 1, "w"), Begin, Begin);
    runs.started(start("k", 0, 1, "w"), Begin, Begin);
    runs.writeJob("j", Begin + 20ms);
    cr_assert_eq(log.lineCount(), 1);
    log.expect("job_id=j step=0.1 started=w:0 withdrawn=\"\" completed=\"\" other=\"\" span_ms=20");
    runs.writeJob("j", Begin + 20ms);
    cr_assert_eq(log.lineCount(), 1, "each result is written once");
    runs.writeAll(Begin + 40ms);
    cr_assert_eq(log.lineCount(), 3);
}

Test(runLog, theLengthOfALineIsBounded)
{
    const CapturedLog log;
    RunLog runs;
    for (int index = 0; index < 250; ++index) {
        runs.started(start("j", 2 * index, 1, "w"), Begin, Begin);
    }
    cr_assert_eq(log.lineCount(), 2);
    runs.writeAll(Begin);
    cr_assert_eq(log.lineCount(), 3);
    log.expect("started="
               + std::string(
                   "w:400,402,404,406,408,410,412,414,416,418,420,422,424,426,428,430,432,434,436,438,440,442,444,446,448,450,452,454,456,"
                   "458,460,462,464,466,468,470,472,474,476,478,480,482,484,486,488,490,492,494,496,498 withdrawn=\"\" completed=\"\" other=\"\" span_ms=0"));
}

Test(runLog, theRateOfLinesIsBoundedAndNoResultIsLost)
{
    const CapturedLog log;
    RunLog runs;
    for (int job = 0; job < 10; ++job) {
        runs.started(start("j" + std::to_string(job), 0, 1, "w"), Begin + std::chrono::milliseconds(10 - job), Begin + std::chrono::milliseconds(10 - job));
    }
    runs.writeDue(Begin + 2s);
    cr_assert_eq(log.lineCount(), 2);
    log.expect("job_id=j9 step=0.1 started=w:0 withdrawn=\"\" completed=\"\" other=\"\" span_ms=1999");
    for (int tick = 0; tick < 10; ++tick) {
        runs.writeDue(Begin + 2s);
    }
    cr_assert_eq(log.lineCount(), 10);
}

Test(runLog, aFloodOfExceptionalResultsIsCombined)
{
    const CapturedLog log;
    RunLog runs;
    int ownLines = 0;
    for (int index = 0; index < 150; ++index) {
        if (runs.takesOwnLine(Begin)) {
            ++ownLines;
        } else {
            runs.other(index % 2 == 0 ? "start-unsent" : "run-lapsed", {"j", 0, 1, index}, 1, "w", Begin);
        }
    }
    cr_assert_eq(ownLines, 60);
    cr_assert(runs.takesOwnLine(Begin + 1s));
    runs.other("stop-done", {"j", 0, 1, 7}, 2, "v", Begin);
    runs.writeAll(Begin);
    cr_assert_eq(log.lineCount(), 1);
    log.expect("other=run-lapsed(w:61,63,65,67,69,71,73,75,77,79,81,83,85,87,89,91,93,95,97,99,101,103,105,107,109,111,113,115,117,119,121,123,125,127,"
               "129,131,133,135,137,139,141,143,145,147,149),start-unsent(w:60,62,64,66,68,70,72,74,76,78,80,82,84,86,88,90,92,94,96,98,100,102,104,106,"
               "108,110,112,114,116,118,120,122,124,126,128,130,132,134,136,138,140,142,144,146,148),stop-done(v:7/2) span_ms=0");
}

Test(runLog, combinedExceptionalResultsAreNotDisplacedByRoutineLines)
{
    const CapturedLog log;
    RunLog runs;
    for (int line = 0; line < 2 * LineLimit; ++line) {
        logMessage(LogLevel::Info, "owner", "routine");
    }
    const auto linesBefore = log.lineCount();
    runs.exceptional("start-unsent", {"j", 0, 1, 7}, 1, "w", Begin);
    runs.other("stop-done", {"i", 0, 1, 7}, 1, "w", Begin);
    runs.writeAll(Begin);
    cr_assert_eq(log.lineCount() - linesBefore, 1, "%d lines", static_cast<int>(log.lineCount() - linesBefore));
    cr_assert(log.text().find("job_id=j step=0.1 started=\"\" withdrawn=\"\" completed=\"\" other=start-unsent(w:7) span_ms=0") != std::string::npos);
}

Test(runLog, theNumberOfCombinedStepsIsBoundedAndNoResultIsLost)
{
    constexpr int Steps = 3000;
    constexpr int MaximumSteps = 1000;
    const CapturedLog log;
    setLogLineLimit(0);
    RunLog runs;
    for (int job = 0; job < Steps; ++job) {
        runs.started(start("j" + std::to_string(job), 0, 1, "w"), Begin + std::chrono::microseconds(job), Begin + std::chrono::microseconds(job));
    }
    cr_assert_eq(log.lineCount(), Steps - MaximumSteps, "%d lines", static_cast<int>(log.lineCount()));
    log.expect("job_id=j0 step=0.1 started=w:0 withdrawn=\"\" completed=\"\" other=\"\" span_ms=1");
    runs.started(start("j2999", 1, 1, "w"), Begin + 10ms, Begin + 10ms);
    cr_assert_eq(log.lineCount(), Steps - MaximumSteps, "a result of a known step needs no further entry");
    runs.writeAll(Begin + 20ms);
    cr_assert_eq(log.lineCount(), Steps);
}

Test(runLog, aCombinedRestartTellsHowLongTheTaskHadNoRun)
{
    const CapturedLog log;
    RunLog runs;
    runs.started(start("j", 0, 1, "w"), Begin, Begin);
    StartCommand restart = start("j", 4, 2, "w");
    restart.withoutRun = 10080ms;
    runs.started(restart, Begin, Begin);
    restart = start("j", 7, 3, "v");
    restart.withoutRun = 900ms;
    runs.started(restart, Begin, Begin);
    runs.writeAll(Begin);
    log.expect("job_id=j step=0.1 started=v:7/3;w:0,4/2 withdrawn=\"\" completed=\"\" other=\"\" span_ms=0 without_run_ms=4/2:10080,7/3:900");
}

// Guards against due lines that displace those which cannot wait.
Test(runLog, dueLinesAreFewerWhileManyOthersAreWritten)
{
    const CapturedLog log;
    RunLog runs;
    for (int job = 0; job < 100; ++job) {
        runs.started(start("due" + std::to_string(job), 0, 1, "w"), Begin, Begin);
    }
    for (int job = 0; job < 180; ++job) {
        runs.started(start("ended", 0, 1, "w"), Begin + 2s, Begin + 2s);
        runs.writeJob("ended", Begin + 2s);
    }
    const auto before = log.lineCount();
    runs.writeDue(Begin + 2s);
    cr_assert_eq(log.lineCount() - before, 1);
    runs.writeDue(Begin + 3s);
    cr_assert_eq(log.lineCount() - before, 3);
}

// Guards against a burst beyond the limit of lines when the ownership ends.
Test(runLog, theLinesLeftAtTheEndOfTheOwnershipCanBeWrittenInParts)
{
    const CapturedLog log;
    RunLog runs;
    for (int job = 0; job < 30; ++job) {
        runs.started(start("j" + std::to_string(job), 0, 1, "w"), Begin + std::chrono::milliseconds(30 - job), Begin + std::chrono::milliseconds(30 - job));
    }
    runs.writeRemaining(Begin + 40ms);
    cr_assert_eq(log.lineCount(), 20);
    log.expect("job_id=j29 step=0.1 started=w:0 withdrawn=\"\" completed=\"\" other=\"\" span_ms=39");
    runs.writeRemaining(Begin + 40ms);
    cr_assert_eq(log.lineCount(), 30);
}

// Guards against a slow worker that cannot be told from an owner that sends late.
Test(runLog, aSlowResponseToAStartIsNamed)
{
    const CapturedLog log;
    RunLog runs;
    runs.started(start("j", 0, 1, "w"), Begin, Begin + 350ms);
    runs.started(start("j", 1, 1, "w"), Begin + 300ms, Begin + 400ms);
    runs.started(start("i", 0, 1, "w"), Begin, Begin + 99ms);
    runs.writeAll(Begin + 500ms);
    log.expect("job_id=j step=0.1 started=w:0-1 withdrawn=\"\" completed=\"\" other=\"\" span_ms=150 start_response_ms=350");
    log.expect("job_id=i step=0.1 started=w:0 withdrawn=\"\" completed=\"\" other=\"\" span_ms=401");
}
