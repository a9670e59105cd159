#include "soakchecks.h"
#include "soakrun.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <unistd.h>

using namespace Hyssop::Soak;
using namespace std::chrono_literals;

namespace {

void assertNoViolations(std::uint32_t seed, std::chrono::seconds faultDuration)
{
    SoakOptions options;
    options.seed = seed;
    options.faultDuration = faultDuration;
    options.directory = "/tmp/hyssop-soak-test-" + std::to_string(::getpid());
    const SoakResult result = runSoak(options);
    cr_assert(result.violations.empty(), "seed %u, logs in %s: %s", seed, options.directory.c_str(), result.violations.front().c_str());
    cr_assert_gt(result.faults.size(), 0);
    cr_assert_gt(result.accepted, 0);
    cr_assert_gt(result.runs, 0);
    std::filesystem::remove_all(options.directory);
}

std::map<std::string, SoakJob> oneJob(const std::string &state)
{
    SoakJob job;
    job.accepted = true;
    job.state = state;
    return {{"j", job}};
}

} // namespace

Test(soak, aShortSeededRun, .timeout = 120)
{
    assertNoViolations(7, 8s);
}

// A worker restarts twice while its responses are late: runs that the second process had confirmed counted as lost.
Test(soak, runsOfAWorkerThatRestartsTwiceAreNotStartedAgain, .timeout = 120)
{
    assertNoViolations(6005, 12s);
}

Test(soakChecks, findConcurrentRuns)
{
    const auto runs = parseRuns("j.0.0.0 1 100 300 lapsed 0\nj.0.0.0 2 200 400 done 1\n");
    cr_assert_eq(findViolations(runs, oneJob("completed")).size(), 1);
}

Test(soakChecks, findAStartAfterAnAcknowledgedEnd)
{
    cr_assert_eq(findViolations(parseRuns("j.0.0.0 1 100 200 done 1\nj.0.0.0 2 300 400 done 1\n"), oneJob("completed")).size(), 1);
    cr_assert(findViolations(parseRuns("j.0.0.0 1 100 200 done 0\nj.0.0.0 2 300 400 done 1\n"), oneJob("completed")).empty());
}

Test(soakChecks, findLostJobsAndRejectedJobsThatRan)
{
    cr_assert_eq(findViolations({}, oneJob("running")).size(), 1);
    cr_assert_eq(findViolations({}, oneJob("completed")).size(), 1);
    auto rejected = oneJob("");
    rejected["j"].accepted = false;
    cr_assert_eq(findViolations(parseRuns("j.0.0.0 1 100 200 done 1\n"), rejected).size(), 1);
    rejected["j"].maybeAccepted = true;
    cr_assert(findViolations(parseRuns("j.0.0.0 1 100 200 done 1\n"), rejected).empty());
}
