#include <support/cluster.h>

#include <boost/json.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

using namespace Hyssop::Testing;
namespace json = boost::json;

static const std::string Contract = R"([contract]
customer = cascadia
favor = throughput
batch_share = 80 %
eviction_budget = 5 %

[service passes]
latency_objective = 250 ms
timeout = 3 s
concurrency = 100
rate = 2000 /s
replicas = 2
cores = 0.5
memory = 100 MB
command = serve
retry_share = 10 %
maximum_attempts = 3
idempotency_window = 10 min

[team prints]
share = 1
cores = 12
memory = 24 GB
slots = 12

[team checks]
share = 1
cores = 8
memory = 16 GB
slots = 8
urgent = yes
)";

/// One attempt as a worker's stand-in reports it.
struct Attempt
{
    std::string worker;
    std::string jobId;
    std::int64_t number = 0;
    std::string state;
    std::int64_t startedUs = 0;
    std::int64_t endedUs = 0; // -1: still running
};

static std::vector<Attempt> batchAttempts(const Cluster &cluster, const std::string &domain, std::size_t workers)
{
    std::vector<Attempt> attempts;
    for (std::size_t i = 0; i < workers; ++i) {
        const HttpCallResult response = cluster.callWorker(domain, i, "GET", "/history");
        const json::value history = json::parse(response.body);
        cr_assert_eq(history.at("overcommits").as_int64(), 0, "a scheduler committed a worker beyond its capacity");
        for (const json::value &entry : history.at("attempts").as_array()) {
            if (!entry.at("service").as_bool()) {
                attempts.push_back({std::string(entry.at("worker").as_string()),
                                    std::string(entry.at("jobId").as_string()),
                                    entry.at("attempt").as_int64(),
                                    std::string(entry.at("state").as_string()),
                                    entry.at("startedUs").as_int64(),
                                    entry.at("endedUs").as_int64()});
            }
        }
    }
    std::ranges::sort(attempts, {}, &Attempt::startedUs);
    return attempts;
}

/// P2: fails if two attempts of one job ran at the same time, or if a job finished more than once.
static void assertNoRepeatedRuns(const std::vector<Attempt> &attempts)
{
    for (std::size_t i = 0; i < attempts.size(); ++i) {
        for (std::size_t j = i + 1; j < attempts.size(); ++j) {
            if (attempts[i].jobId != attempts[j].jobId) {
                continue;
            }
            const bool overlap = attempts[i].endedUs < 0 || attempts[i].endedUs > attempts[j].startedUs;
            cr_assert(!overlap, "%s ran twice at the same time", attempts[i].jobId.c_str());
            cr_assert(attempts[i].state != "finished", "%s ran again after it had finished", attempts[i].jobId.c_str());
        }
    }
}

static std::int64_t countFinishedJobs(const std::vector<Attempt> &attempts)
{
    return std::ranges::count(attempts, std::string("finished"), &Attempt::state);
}

/// Submits a job and returns hyssopctl's exit code. Without @p jobId hyssopctl generates an id.
static int submitJob(const Cluster &cluster,
                     const std::string &domain,
                     const std::string &jobId,
                     const std::string &command,
                     const std::string &cores = "0.5",
                     bool urgent = false)
{
    std::vector<std::string> arguments{"job", "submit", "--domain", domain, "--customer", "cascadia", "--team", urgent ? "checks" : "prints"};
    arguments.insert(arguments.end(), {"--task", "badge-print", "--cores", cores, "--memory", "100 MB", command});
    if (urgent) {
        arguments.emplace_back("--urgent");
    }
    if (!jobId.empty()) {
        arguments.insert(arguments.end(), {"--job-id", jobId});
    }
    const ProgramResult result = cluster.runHyssopctl(domain, arguments);
    if (result.exitCode != 0) {
        std::cerr << jobId << ": " << result.output << result.errors;
    }
    return result.exitCode;
}

/// Executions of each purchase, counted at the targets.
static std::map<std::string, std::int64_t> countEffects(const Cluster &cluster, const std::string &domain, std::size_t workers)
{
    std::map<std::string, std::int64_t> effects;
    for (std::size_t i = 0; i < workers; ++i) {
        const json::value history = json::parse(cluster.callWorker(domain, i, "GET", "/history").body);
        for (const auto &entry : history.at("effects").as_object()) {
            effects[std::string(entry.key())] += entry.value().as_int64();
        }
    }
    return effects;
}

static HttpCallResult requestPass(const Cluster &cluster, const std::string &gateway, const std::string &method = "GET", const std::string &effect = {})
{
    std::map<std::string, std::string> headers;
    if (!effect.empty()) {
        headers["X-Effect"] = effect;
    }
    return httpCall(cluster.daemon(gateway).http, method, "/cascadia/passes/buy", method == "POST" ? "one pass" : "", headers);
}

/// Starts a cluster and waits until the contract is applied and the service responds.
static void startServing(Cluster &cluster, const std::string &domain)
{
    cr_assert(cluster.start());
    cr_assert(waitFor(std::chrono::seconds(10), [&] { return !cluster.owner(domain).empty(); }), "no scheduler became owner");
    cr_assert_eq(cluster.applyContract(domain, Contract), 0);
    for (const std::string &gateway : cluster.gateways(domain)) {
        cr_assert(waitFor(std::chrono::seconds(15), [&] { return requestPass(cluster, gateway).status == 200; }), "%s serves no requests", gateway.c_str());
    }
}

// Covers the whole path: contract, service placement, request, batch job.
Test(processes, servesRequestsAndRunsJobs, .timeout = 90)
{
    Cluster cluster({});
    startServing(cluster, "puget-a");
    const HttpCallResult response = requestPass(cluster, "gateway-puget-a-0", "POST");
    cr_assert_eq(response.status, 200);
    cr_assert(response.body.find("one pass") != std::string::npos);
    cr_assert_eq(submitJob(cluster, "puget-a", "print-1", "run 300"), 0);
    cr_assert(waitFor(std::chrono::seconds(15), [&] { return countFinishedJobs(batchAttempts(cluster, "puget-a", 2)) == 1; }));
    assertNoRepeatedRuns(batchAttempts(cluster, "puget-a", 2));
}

// Guards against work that is lost or runs twice when the owner crashes, and against a slow takeover (design: about 2.5 s
// until the claim, within 6.5 s for urgent work).
Test(processes, survivesKilledOwner, .timeout = 120)
{
    Cluster cluster({});
    startServing(cluster, "puget-a");
    for (int i = 0; i < 8; ++i) {
        cr_assert_eq(submitJob(cluster, "puget-a", "before-" + std::to_string(i), "run 4000"), 0);
    }
    cr_assert(waitFor(std::chrono::seconds(10), [&] { return batchAttempts(cluster, "puget-a", 2).size() == 8; }));
    const std::string owner = cluster.owner("puget-a");
    cluster.process(owner).kill();
    const auto killedAt = std::chrono::steady_clock::now().time_since_epoch();
    for (int i = 0; i < 4; ++i) {
        cr_assert_eq(submitJob(cluster, "puget-a", "after-" + std::to_string(i), "run 200"), 0);
    }
    cr_assert(waitFor(std::chrono::seconds(30), [&] { return countFinishedJobs(batchAttempts(cluster, "puget-a", 2)) == 12; }));
    const auto attempts = batchAttempts(cluster, "puget-a", 2);
    assertNoRepeatedRuns(attempts);
    cr_assert_eq(attempts.size(), 12, "tasks were restarted although their workers never lost the lease");
    const auto firstAfter = std::ranges::find_if(attempts, [](const Attempt &attempt) { return attempt.jobId.starts_with("after-"); });
    const auto delay = std::chrono::microseconds(firstAfter->startedUs) - std::chrono::duration_cast<std::chrono::microseconds>(killedAt);
    std::cerr << "takeover: first start " << delay.count() / 1000 << " ms after the kill\n";
    cr_assert(delay < std::chrono::milliseconds(6500));
}

// Guards against a frozen owner that resumes and still sends commands to workers although another scheduler has taken over.
Test(processes, survivesFrozenOwner, .timeout = 120)
{
    Cluster::Layout layout;
    layout.leaseDuration = "3 s";
    Cluster cluster(layout);
    startServing(cluster, "puget-a");
    for (int i = 0; i < 6; ++i) {
        cr_assert_eq(submitJob(cluster, "puget-a", "first-" + std::to_string(i), "run 9000"), 0);
    }
    cr_assert(waitFor(std::chrono::seconds(10), [&] { return batchAttempts(cluster, "puget-a", 2).size() == 6; }));
    const std::string frozen = cluster.owner("puget-a");
    cluster.process(frozen).sendSignal(SIGSTOP);
    cr_assert(waitFor(std::chrono::seconds(15), [&] {
        const std::string owner = cluster.owner("puget-a");
        return !owner.empty() && owner != frozen;
    }));
    std::this_thread::sleep_for(std::chrono::seconds(4));
    cluster.process(frozen).sendSignal(SIGCONT);
    for (int i = 0; i < 6; ++i) {
        cr_assert_eq(submitJob(cluster, "puget-a", "second-" + std::to_string(i), "run 500"), 0);
    }
    cr_assert(waitFor(std::chrono::seconds(40), [&] { return countFinishedJobs(batchAttempts(cluster, "puget-a", 2)) == 12; }));
    assertNoRepeatedRuns(batchAttempts(cluster, "puget-a", 2));
}

// Guards against records that are lost or written twice when the log applies an append but its response is lost.
Test(processes, survivesLostLogResponses, .timeout = 120)
{
    Cluster cluster({});
    startServing(cluster, "puget-a");
    for (int i = 0; i < 10; ++i) {
        cluster.callLog("POST", "/faults", R"({"loseAnswers": 1})");
        const int code = submitJob(cluster, "puget-a", "job-" + std::to_string(i), "run 100");
        cr_assert(code == 0 || code == 6, "exit code %d", code);
    }
    cr_assert(waitFor(std::chrono::seconds(40), [&] { return countFinishedJobs(batchAttempts(cluster, "puget-a", 2)) == 10; }));
    const auto attempts = batchAttempts(cluster, "puget-a", 2);
    assertNoRepeatedRuns(attempts);
    cr_assert_eq(attempts.size(), 10);
}

// Guards against a log outage that stops requests or running work, and against jobs that are accepted but not durable.
Test(processes, servesDuringLogOutage, .timeout = 120)
{
    Cluster cluster({});
    startServing(cluster, "puget-a");
    cr_assert_eq(submitJob(cluster, "puget-a", "running", "run 12000"), 0);
    cr_assert(waitFor(std::chrono::seconds(10), [&] { return batchAttempts(cluster, "puget-a", 2).size() == 1; }));
    cluster.callLog("POST", "/faults", R"({"available": false})");
    const auto outageEnd = std::chrono::steady_clock::now() + std::chrono::seconds(14);
    cr_assert_eq(submitJob(cluster, "puget-a", {}, "run 100"), 5);
    while (std::chrono::steady_clock::now() < outageEnd) {
        for (const std::string &gateway : cluster.gateways("puget-a")) {
            cr_assert_eq(requestPass(cluster, gateway, "POST").status, 200);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    cluster.callLog("POST", "/faults", R"({"available": true})");
    cr_assert(waitFor(std::chrono::seconds(30), [&] { return submitJob(cluster, "puget-a", {}, "run 100") == 0; }));
    cr_assert(waitFor(std::chrono::seconds(30), [&] { return countFinishedJobs(batchAttempts(cluster, "puget-a", 2)) == 2; }));
    const auto attempts = batchAttempts(cluster, "puget-a", 2);
    assertNoRepeatedRuns(attempts);
    cr_assert_eq(attempts.size(), 2, "a rejected job has run");
}

// Guards against operators who overwrite each other's changes without an error.
Test(processes, acceptsOneOfTwoConcurrentChanges, .timeout = 90)
{
    Cluster cluster({});
    startServing(cluster, "puget-a");
    const std::string file = cluster.directory() + "/contract.ini";
    // Both start before either has ended.
    ChildProcess first = cluster.startHyssopctl("puget-a", {"contract", "apply", file, "--base", "1"});
    ChildProcess second = cluster.startHyssopctl("puget-a", {"contract", "apply", file, "--base", "1"});
    std::array codes{first.waitForExit(std::chrono::seconds(20)), second.waitForExit(std::chrono::seconds(20))};
    std::ranges::sort(codes);
    cr_assert_eq(codes[0], 0);
    cr_assert_eq(codes[1], 4);
}

// Guards against starts in a failure domain after operators took it out, and against jobs that are lost on the way to
// another failure domain.
Test(processes, movesJobsOutOfLeavingDomain, .timeout = 120)
{
    Cluster::Layout layout;
    layout.domains = {"puget-a", "puget-b"};
    Cluster cluster(layout);
    startServing(cluster, "puget-a");
    // Six jobs fit; three are pending and would start in the failure domain once the first ones end.
    for (int i = 0; i < 9; ++i) {
        cr_assert_eq(submitJob(cluster, "puget-a", "job-" + std::to_string(i), "run 6000", "2"), 0);
    }
    cr_assert(waitFor(std::chrono::seconds(10), [&] { return batchAttempts(cluster, "puget-a", 2).size() == 6; }));
    cr_assert_eq(cluster.runHyssopctl("puget-a", {"domain", "out", "puget-a"}).exitCode, 0);
    const auto outAt = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch());
    const auto finished = [&] { return countFinishedJobs(batchAttempts(cluster, "puget-a", 2)) + countFinishedJobs(batchAttempts(cluster, "puget-b", 2)); };
    cr_assert(waitFor(std::chrono::seconds(60), [&] { return finished() == 9; }), "%ld of 9 jobs finished", static_cast<long>(finished()));
    cr_assert_eq(countFinishedJobs(batchAttempts(cluster, "puget-b", 2)), 9, "jobs stayed in a failure domain that was out");
    auto attempts = batchAttempts(cluster, "puget-a", 2);
    constexpr std::chrono::microseconds PropagationTime = std::chrono::seconds(4);
    for (const Attempt &attempt : attempts) {
        cr_assert(attempt.startedUs < (outAt + PropagationTime).count(), "%s started in a failure domain that was out", attempt.jobId.c_str());
    }
    for (const Attempt &attempt : batchAttempts(cluster, "puget-b", 2)) {
        attempts.push_back(attempt);
    }
    std::ranges::sort(attempts, {}, &Attempt::startedUs);
    assertNoRepeatedRuns(attempts);
    cr_assert_eq(cluster.runHyssopctl("puget-a", {"domain", "in", "puget-a"}).exitCode, 0);
    cr_assert_eq(submitJob(cluster, "puget-a", "back", "run 100"), 0);
    cr_assert(waitFor(std::chrono::seconds(20), [&] { return finished() == 10; }));
}

// Guards against requests that a planned stop interrupts (P9).
Test(processes, drainsGatewayUnderLoad, .timeout = 90)
{
    Cluster cluster({});
    startServing(cluster, "puget-a");
    const std::string gateway = "gateway-puget-a-0";
    std::atomic<int> refused = 0;
    std::atomic<int> interrupted = 0;
    std::atomic<int> served = 0;
    std::atomic<bool> stop = false;
    std::vector<std::thread> callers;
    callers.reserve(8);
    for (int i = 0; i < 8; ++i) {
        callers.emplace_back([&] {
            while (!stop) {
                const HttpCallResult response = httpCall(cluster.daemon(gateway).http, "POST", "/cascadia/passes/buy", "x", {{"X-Delay-Ms", "150"}});
                if (response.status == 200) {
                    ++served;
                } else if (response.status == 0) {
                    // Connections after the listener has closed are refused before anything is sent.
                    ++refused;
                    std::this_thread::sleep_for(std::chrono::milliseconds(10));
                } else {
                    ++interrupted;
                }
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    cluster.process(gateway).sendSignal(SIGTERM);
    const int code = cluster.process(gateway).waitForExit(std::chrono::seconds(20));
    stop = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    cr_assert_eq(code, 0);
    cr_assert(served > 20);
    cr_assert_eq(interrupted, 0);
}

// Guards against a dead or frozen target that makes a purchase run twice or is reported as "not run" after it ran.
Test(processes, reportsUnknownForFrozenTarget, .timeout = 90)
{
    Cluster cluster({});
    startServing(cluster, "puget-a");
    cluster.process("puget-a-worker-0").sendSignal(SIGSTOP);
    int unknown = 0;
    for (int i = 0; i < 12; ++i) {
        const HttpCallResult response = requestPass(cluster, "gateway-puget-a-0", "POST", "purchase-" + std::to_string(i));
        cr_assert(response.status == 200 || response.headers.contains("hyssop-outcome"), "status %d without outcome", response.status);
        unknown += response.status == 200 ? 0 : 1;
    }
    cluster.process("puget-a-worker-0").sendSignal(SIGCONT);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    for (const auto &[purchase, count] : countEffects(cluster, "puget-a", 2)) {
        cr_assert_eq(count, 1, "%s ran %ld times", purchase.c_str(), static_cast<long>(count));
    }
    cr_assert(unknown <= 3, "the frozen target was tried %d times", unknown);
}

// Guards against urgent work that waits behind batch, and against evicted work that is lost or resumed twice. Bound: 6.5 s.
Test(processes, startsUrgentWorkInTime, .timeout = 120)
{
    Cluster cluster({});
    startServing(cluster, "puget-a");
    cr_assert_eq(submitJob(cluster, "puget-a", "batch-0", "run 15000", "6"), 0);
    cr_assert_eq(submitJob(cluster, "puget-a", "batch-1", "run 15000", "6"), 0);
    cr_assert(waitFor(std::chrono::seconds(10), [&] { return batchAttempts(cluster, "puget-a", 2).size() == 2; }));
    const auto submittedAt = std::chrono::steady_clock::now().time_since_epoch();
    cr_assert_eq(submitJob(cluster, "puget-a", "urgent", "run 500", "6", true), 0);
    cr_assert(waitFor(std::chrono::seconds(60), [&] { return countFinishedJobs(batchAttempts(cluster, "puget-a", 2)) == 3; }));
    const auto attempts = batchAttempts(cluster, "puget-a", 2);
    assertNoRepeatedRuns(attempts);
    cr_assert_eq(attempts.size(), 4, "%zu attempts instead of four: one urgent, two batch and one resumed batch attempt", attempts.size());
    const auto urgent = std::ranges::find(attempts, std::string("urgent"), &Attempt::jobId);
    const auto delay = std::chrono::microseconds(urgent->startedUs) - std::chrono::duration_cast<std::chrono::microseconds>(submittedAt);
    std::cerr << "urgent work started " << delay.count() / 1000 << " ms after its submission\n";
    cr_assert(delay < std::chrono::milliseconds(6500));
}

// Guards against a purchase that runs twice when it is sent again with its idempotency key through another gateway (P7).
Test(processes, runsKeyedPurchaseOnce, .timeout = 120)
{
    Cluster cluster({});
    startServing(cluster, "puget-a");
    const auto gateways = cluster.gateways("puget-a");
    for (int i = 0; i < 20; ++i) {
        const std::string key = "purchase-" + std::to_string(i);
        const std::map<std::string, std::string> headers{{"Idempotency-Key", key}, {"X-Effect", key}, {"X-Delay-Ms", "100"}};
        std::vector<HttpCallResult> responses(2);
        std::thread first([&] { responses[0] = httpCall(cluster.daemon(gateways[0]).http, "POST", "/cascadia/passes/buy", "x", headers); });
        std::thread second([&] { responses[1] = httpCall(cluster.daemon(gateways[1]).http, "POST", "/cascadia/passes/buy", "x", headers); });
        first.join();
        second.join();
        const auto served = std::ranges::count(responses, 200, &HttpCallResult::status);
        cr_assert(served >= 1, "statuses %d and %d", responses[0].status, responses[1].status);
        // Once the outcome is recorded, every gateway responds with it.
        cr_assert(waitFor(std::chrono::seconds(5),
                          [&] { return httpCall(cluster.daemon(gateways[1]).http, "POST", "/cascadia/passes/buy", "x", headers).status == 200; }));
    }
    const auto effects = countEffects(cluster, "puget-a", 2);
    cr_assert_eq(effects.size(), 20);
    for (const auto &[key, count] : effects) {
        cr_assert_eq(count, 1, "%s ran %ld times", key.c_str(), static_cast<long>(count));
    }
}

// Guards against new requests at a target long after its worker has begun to leave (P8).
Test(processes, stopsSendingToLeavingWorker, .timeout = 90)
{
    Cluster cluster({});
    startServing(cluster, "puget-a");
    cluster.callWorker("puget-a", 0, "POST", "/faults", R"({"leaving": true})");
    std::this_thread::sleep_for(std::chrono::seconds(4));
    // The requests below are counted under this name only; the first worker's count must not rise.
    const auto total = [&] { return countEffects(cluster, "puget-a", 1)["late"]; };
    const std::int64_t initialCount = total();
    for (int i = 0; i < 60; ++i) {
        for (const std::string &gateway : cluster.gateways("puget-a")) {
            cr_assert_eq(requestPass(cluster, gateway, "POST", "late").status, 200);
        }
    }
    cr_assert_eq(total(), initialCount, "a leaving target got new requests");
}

/// Last configuration offset that a daemon has applied; -1 without a response.
static double appliedOffset(const Cluster &cluster, const std::string &daemon)
{
    const std::string name = "\nhyssop_config_applied_offset ";
    const std::string metrics = httpCall(cluster.daemon(daemon).admin, "GET", "/metrics").body;
    const std::size_t at = metrics.find(name);
    return at == std::string::npos ? -1 : std::stod(metrics.substr(at + name.size()));
}

// Guards against a change that reaches some instances late or never. Bound: 17 s.
Test(processes, appliesChangesOnAllDaemons, .timeout = 90)
{
    Cluster::Layout layout;
    layout.domains = {"puget-a", "puget-b"};
    Cluster cluster(layout);
    cr_assert(cluster.start());
    std::vector<std::string> daemons;
    for (const std::string &domain : layout.domains) {
        for (const auto &names : {cluster.schedulers(domain), cluster.gateways(domain)}) {
            daemons.insert(daemons.end(), names.begin(), names.end());
        }
    }
    for (int change = 1; change <= 5; ++change) {
        const auto begin = std::chrono::steady_clock::now();
        cr_assert_eq(cluster.applyContract("puget-a", Contract), 0);
        const auto everywhere = [&] { return std::ranges::all_of(daemons, [&](const auto &daemon) { return appliedOffset(cluster, daemon) >= change; }); };
        cr_assert(waitFor(std::chrono::seconds(17), everywhere));
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin);
        std::cerr << "change " << change << " in force at " << daemons.size() << " daemons after " << elapsed.count() << " ms\n";
    }
}

// Guards against an instance that is replaced during a log outage and can't serve, or serves an older configuration.
Test(processes, replacedGatewayServesDuringLogOutage, .timeout = 90)
{
    Cluster cluster({});
    startServing(cluster, "puget-a");
    cr_assert_eq(cluster.applyContract("puget-a", Contract), 0);
    cr_assert(waitFor(std::chrono::seconds(17), [&] { return appliedOffset(cluster, "gateway-puget-a-1") >= 2; }));
    cluster.callLog("POST", "/faults", R"({"available": false})");
    cluster.process("gateway-puget-a-0").kill();
    cluster.restart("gateway-puget-a-0");
    cr_assert(waitFor(std::chrono::seconds(20), [&] { return httpCall(cluster.daemon("gateway-puget-a-0").admin, "GET", "/readyz").status == 200; }));
    cr_assert(waitFor(std::chrono::seconds(5), [&] { return requestPass(cluster, "gateway-puget-a-0", "POST").status == 200; }));
    cluster.callLog("POST", "/faults", R"({"available": true})");
    cr_assert(waitFor(std::chrono::seconds(17), [&] { return appliedOffset(cluster, "gateway-puget-a-0") >= 2; }));
}

// Guards against an operator's request that a scheduler has read and never answers, because it stops while the log executes the append.
Test(processes, aStoppingSchedulerAnswersTheRequestsThatItHasRead, .timeout = 90)
{
    Cluster::Layout layout;
    layout.instancesPerDomain = 1; // so that no other scheduler answers in its place
    Cluster cluster(layout);
    startServing(cluster, "puget-a");
    cluster.callLog("POST", "/faults", R"({"appendDelayMs": 900})");
    ChildProcess submission = cluster.startHyssopctl("puget-a",
                                                     {"job",
                                                      "submit",
                                                      "--domain",
                                                      "puget-a",
                                                      "--customer",
                                                      "cascadia",
                                                      "--team",
                                                      "prints",
                                                      "--task",
                                                      "badge-print",
                                                      "--cores",
                                                      "0.5",
                                                      "--memory",
                                                      "100 MB",
                                                      "run 100"});
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    ChildProcess &scheduler = cluster.process(cluster.schedulers("puget-a").front());
    scheduler.sendSignal(SIGTERM);
    cr_expect_eq(submission.waitForExit(std::chrono::seconds(10)), 0, "the submission got no reply");
    cr_expect_eq(scheduler.waitForExit(std::chrono::seconds(10)), 0);
}
