#include "soakchecks.h"
#include "soakrun.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <unistd.h>

using namespace Hyssop::Soak;
using namespace std::chrono_literals;

namespace {

void assertKeepsItsPromises(std::uint32_t seed, std::chrono::seconds faultTime)
{
    SoakOptions options;
    options.seed = seed;
    options.faultTime = faultTime;
    options.directory = "/tmp/hyssop-soak-test-" + std::to_string(::getpid());
    const SoakResult result = runSoak(options);
    cr_assert(result.broken.empty(), "seed %u, logs in %s: %s", seed, options.directory.c_str(), result.broken.front().c_str());
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
    assertKeepsItsPromises(7, 8s);
}

Test(soakChecks, findTwoRunsAtTheSameTime)
{
    const auto runs = parseRuns("j.0.0.0 1 100 300 lapsed 0\nj.0.0.0 2 200 400 done 1\n");
    cr_assert_eq(brokenPromises(runs, oneJob("completed")).size(), 1);
}

Test(soakChecks, findAStartAfterANotedEnd)
{
    cr_assert_eq(brokenPromises(parseRuns("j.0.0.0 1 100 200 done 1\nj.0.0.0 2 300 400 done 1\n"), oneJob("completed")).size(), 1);
    cr_assert(brokenPromises(parseRuns("j.0.0.0 1 100 200 done 0\nj.0.0.0 2 300 400 done 1\n"), oneJob("completed")).empty());
}

Test(soakChecks, findLostAndRefusedJobsThatRan)
{
    cr_assert_eq(brokenPromises({}, oneJob("running")).size(), 1);
    cr_assert_eq(brokenPromises({}, oneJob("completed")).size(), 1);
    auto refused = oneJob("");
    refused["j"].accepted = false;
    cr_assert_eq(brokenPromises(parseRuns("j.0.0.0 1 100 200 done 1\n"), refused).size(), 1);
    refused["j"].maybeAccepted = true;
    cr_assert(brokenPromises(parseRuns("j.0.0.0 1 100 200 done 1\n"), refused).empty());
}
