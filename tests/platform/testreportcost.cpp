#include <workercodec.h>

#include <criterion/criterion.h>

#include <cstdlib>
#include <new>
#include <string>

using namespace Hyssop;
using namespace Hyssop::Platform;

namespace {

thread_local std::size_t allocations = 0;

} // namespace

// Counts the allocations of this program. The other forms of the operator call this one.
void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size)) { // NOLINT(cppcoreguidelines-no-malloc): allocates for operator new
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc): frees what operator new has allocated
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc): frees what operator new has allocated
}

namespace {

constexpr int Runs = 24;
constexpr std::size_t AllocationsOfRun = 2; // the job and the checkpoint
constexpr std::size_t AllocationsOfReport = 6; // the lists, the parsed values, and margin

std::string reportOf(int runs)
{
    std::string body = R"({"clockMs":482113,"born":1700000000000,"running":[)";
    for (int run = 0; run < runs; ++run) {
        body += (run > 0 ? "," : "") + std::string(R"(["5c0e7a21d94b36f8.0.1.)") + std::to_string(run) + R"(",2,"00000bb87a21d94b",41,830])";
    }
    return body + R"(],"finished":[]})";
}

} // namespace

// Guards against work for each run of a report that adds nothing: an owner decodes 50,000 rows a second.
Test(reportCost, aRunCostsNoMoreAllocationsThanItsTexts)
{
    const std::string body = reportOf(Runs);
    std::size_t malformed = 0;
    allocations = 0;
    auto report = capture([&] { return decodeReport(body, malformed); });
    const std::size_t counted = allocations;
    cr_assert_not_null(valueOf(report));
    cr_assert_eq(valueOf(report)->runs.size(), Runs);
    cr_assert_leq(counted, Runs * AllocationsOfRun + AllocationsOfReport, "%zu allocations", counted);
}

// Guards against a tree of values for each request: an owner sends 8,000 a second.
Test(requestCost, aPollOrAStartCostsFewAllocations)
{
    constexpr std::size_t AllocationsOfPoll = 1;
    constexpr std::size_t AllocationsOfStart = 4; // the text, and the name of the task
    PollCommand poll;
    poll.fencingToken = 1'000'017;
    poll.leaseEnd = WorkerTime(486000);
    poll.wait = std::chrono::milliseconds(600);
    StartCommand start;
    start.task = {"5c0e7a21d94b36f8", 0, 1, 17};
    start.payload = std::string(60, 'p');
    allocations = 0;
    const std::string encodedPoll = encodePoll(poll);
    cr_assert_leq(allocations, AllocationsOfPoll, "%zu allocations", allocations);
    allocations = 0;
    const std::string encodedStart = encodeStart(start);
    cr_assert_leq(allocations, AllocationsOfStart, "%zu allocations", allocations);
}
