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
        runs.started(start("j", index, 1, index < 20 ? "v" : "w"), Begin);
    }
    runs.writeDue(Begin + 400ms);
    cr_assert_eq(log.lineCount(), 0);
    runs.writeDue(Begin + 500ms);
    runs.writeDue(Begin + 2s);
    cr_assert_eq(log.lineCount(), 1);
    log.expect("message=\"run results\" job_id=j step=0.1 started=v:0-19;w:20-49 withdrawn=\"\" completed=\"\" span_ms=500");
}

Test(runLog, laterRunsGapsAndWithdrawnStartsAreNamed)
{
    const CapturedLog log;
    RunLog runs;
    for (const int index : {3, 0, 1, 7}) {
        runs.started(start("j", index, 1, "w"), Begin);
    }
    runs.started(start("j", 2, 2, "w"), Begin);
    runs.withdrawn({{"j", 0, 1, 1}, 1, "w"}, Begin);
    runs.withdrawn({{"j", 0, 1, 1}, 2, "v"}, Begin);
    runs.completed(completion("j", 5, 1), Begin + 100ms);
    runs.completed(completion("j", 6, 3), Begin + 100ms);
    runs.writeAll(Begin + 200ms);
    log.expect("message=\"run results\" job_id=j step=0.1 started=w:0-1,3,7,2/2 withdrawn=v:1/2;w:1 completed=5,6/3 span_ms=200");
}

Test(runLog, theRunsOfAJobAreWrittenBeforeItsEnd)
{
    const CapturedLog log;
    RunLog runs;
    runs.started(start("j", 0, 1, "w"), Begin);
    runs.started(start("i", 0, 1, "w"), Begin);
    runs.started(start("k", 0, 1, "w"), Begin);
    runs.writeJob("j", Begin + 20ms);
    cr_assert_eq(log.lineCount(), 1);
    log.expect("job_id=j step=0.1 started=w:0 withdrawn=\"\" completed=\"\" span_ms=20");
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
        runs.started(start("j", 2 * index, 1, "w"), Begin);
    }
    cr_assert_eq(log.lineCount(), 2);
    runs.writeAll(Begin);
    cr_assert_eq(log.lineCount(), 3);
    log.expect("started="
               + std::string("w:400,402,404,406,408,410,412,414,416,418,420,422,424,426,428,430,432,434,436,438,440,442,444,446,448,450,452,454,456,"
                             "458,460,462,464,466,468,470,472,474,476,478,480,482,484,486,488,490,492,494,496,498 withdrawn=\"\" completed=\"\" span_ms=0"));
}
