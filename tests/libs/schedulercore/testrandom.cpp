#include "world.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace Hyssop;
using namespace Hyssop::Testing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr int Rounds = 240; // one fault or request each
constexpr std::uint64_t FirstSeed = 20261204;
constexpr int Seeds = 24;

/// Runs a world with requests and faults of all kinds that are drawn from a seed.
class RandomFaultRun
{
public:
    explicit RandomFaultRun(std::uint64_t seed)
        : m_random(seed)
        , m_world(options(seed))
        , m_lateCommandRate(seed % 5 < 2 ? 0.25 : 0.03)
    {
    }

    /// Returns the first fault, or an empty string.
    std::string run()
    {
        m_world.setLoss(0.02, m_lateCommandRate, 0.01, 0.002);
        for (int round = 0; round < Rounds; ++round) {
            performRandomAction();
            m_world.advance(milliseconds(200 + randomNumber(1200)));
            if (!m_world.violations().empty()) {
                return m_world.violations().front();
            }
        }
        m_world.setLoss(0, 0, 0);
        m_world.setDomain("east", true);
        m_world.setDomain("west", true);
        m_world.healAll();
        for (int round = 0; round < 100 && m_world.violations().empty() && !unfinished().empty(); ++round) {
            m_world.advance(seconds(15));
        }
        // Time for the workers to forget ended tasks.
        m_world.advance(seconds(10));
        if (!m_world.violations().empty()) {
            return m_world.violations().front();
        }
        return unfinished();
    }

    const World &world() const { return m_world; }

    /// Counts the lines of the trace that contain @p text.
    std::size_t traceCount(const std::string &text) const
    {
        const auto contains = [&](const std::string &line) { return line.find(text) != std::string::npos; };
        return static_cast<std::size_t>(std::count_if(m_world.trace().begin(), m_world.trace().end(), contains));
    }

private:
    static WorldOptions options(std::uint64_t seed)
    {
        WorldOptions options;
        options.seed = seed;
        options.schedulers = 2 + static_cast<int>(seed % 2);
        options.lateRenewalRate = 0.05;
        options.maximumDelay = milliseconds(seed % 3 == 0 ? 400 : 40);
        // Short enough to expire during a run for owners that can't reach the log.
        options.logOutageGrace = seed % 4 == 0 ? milliseconds(seconds(25)) : milliseconds(minutes(15));
        return options;
    }

    int randomNumber(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(m_random); }
    bool chance(double share) { return std::bernoulli_distribution(share)(m_random); }
    std::string domain() { return chance(0.7) ? "east" : "west"; }
    std::string scheduler() { return pick(m_world.schedulerNames()); }
    std::string workerName() { return pick(m_world.workerNames()); }
    std::string pick(const std::vector<std::string> &names) { return names[static_cast<std::size_t>(randomNumber(static_cast<int>(names.size())))]; }

    void performRandomAction()
    {
        switch (randomNumber(17)) {
        case 0:
        case 1:
        case 2:
            submitWave();
            break;
        case 3:
            cancelBurst();
            break;
        case 4:
            killOrStart();
            break;
        case 5:
        case 6:
            freezeOrThaw();
            break;
        case 7:
        case 8:
        case 9:
            cutOrHeal();
            break;
        case 10:
            m_logUp = m_logUp ? chance(0.6) : true;
            m_world.setLogUp(m_logUp);
            break;
        case 11:
        case 12: {
            const std::string name = domain();
            m_outOfService[name] = !m_outOfService[name];
            m_world.setDomain(name, !m_outOfService[name]);
            break;
        }
        case 13:
            changeContract();
            break;
        case 14:
            m_world.worker(workerName()).setFailsTasks(chance(0.4));
            m_world.worker(workerName()).setFailsCheckpoints(chance(0.4));
            break;
        case 15:
            m_world.worker(workerName()).restart();
            break;
        default:
            m_world.worker(workerName()).setLeaving(chance(0.3));
        }
    }

    void submitWave()
    {
        const std::string name = domain();
        const int count = 1 + randomNumber(6);
        for (int index = 0; index < count; ++index) {
            Wire::JobSpec spec;
            spec.jobId = "job" + std::to_string(++m_jobs);
            spec.customer = "cascadia";
            spec.taskName = "photo";
            // Fits on one worker together with all replicas, so that a job that avoids the other workers can still end.
            spec.declared.milliCores = 1000 * (1 + randomNumber(3));
            spec.declared.memoryBytes = 1'000'000'000LL * (1 + randomNumber(4));
            spec.declaredRunTimeMs = 1000 * (1 + randomNumber(30));
            spec.acceptsCheckpoint = chance(0.8);
            m_world.submit(name, spec);
            m_submittedTo[spec.jobId] = name;
        }
    }

    void cancelBurst()
    {
        for (int index = 0; index < 5 && m_jobs > 0; ++index) {
            const std::string jobId = "job" + std::to_string(1 + randomNumber(m_jobs));
            m_world.cancel(m_submittedTo[jobId], jobId);
        }
    }

    void killOrStart()
    {
        const std::string name = scheduler();
        if (m_world.isRunning(name)) {
            m_world.kill(name);
        } else {
            m_world.start(name);
        }
    }

    void freezeOrThaw()
    {
        const std::string name = scheduler();
        if (m_world.isFrozen(name)) {
            m_world.thaw(name);
        } else if (m_world.isRunning(name)) {
            m_world.freeze(name);
        }
    }

    void cutOrHeal()
    {
        if (!m_cuts.empty() && chance(0.5)) {
            const std::size_t index = static_cast<std::size_t>(randomNumber(static_cast<int>(m_cuts.size())));
            m_world.heal(m_cuts[index].first, m_cuts[index].second);
            m_cuts.erase(m_cuts.begin() + static_cast<std::ptrdiff_t>(index));
            return;
        }
        const int kind = randomNumber(5);
        const std::string first = scheduler();
        if (kind == 4) {
            const std::string worker = workerName();
            m_world.mute(worker, first);
            m_cuts.emplace_back(worker, first);
            return;
        }
        const std::string second = kind == 0 ? "log" : kind == 1 ? workerName() : kind == 2 ? "config" : scheduler();
        if (first != second) {
            m_world.cut(first, second);
            m_cuts.emplace_back(first, second);
        }
    }

    void changeContract()
    {
        Contract contract;
        contract.customer = "mtkvari";
        ServiceContract service;
        service.name = "dispatch";
        service.replicas = randomNumber(4);
        service.singleCopy = true;
        service.task = {500 * (1 + randomNumber(2)), 500'000'000, 0, 1};
        contract.services.push_back(service);
        service.name = "lookup";
        service.singleCopy = false;
        service.replicas = randomNumber(3);
        contract.services.push_back(service);
        m_world.setContract(contract);
        m_replicas = 0;
        for (const ServiceContract &wanted : contract.services) {
            m_replicas += static_cast<std::size_t>(wanted.replicas);
        }
    }

    // Describes work that is lost, orphaned or not finished yet; empty if everything has ended.
    std::string unfinished()
    {
        for (int index = 1; index <= m_jobs; ++index) {
            const std::string jobId = "job" + std::to_string(index);
            const JobEntry *entry = m_world.findJob(jobId);
            if (!entry || entry->state != JobState::Ended) {
                return jobId + " has not ended: " + (entry ? jobStateName(*entry) : "unknown");
            }
        }
        for (const char *name : {"east", "west"}) {
            for (const std::string &jobId : m_world.ledger(name).openJobs()) {
                if (!jobId.starts_with("service/")) {
                    return jobId + " is still open in " + name;
                }
            }
        }
        const std::size_t expected = 2 * m_replicas;
        if (m_world.activeTasks() != expected) {
            return std::to_string(m_world.activeTasks()) + " tasks run instead of " + std::to_string(expected);
        }
        const std::size_t targets = m_world.targets("east").size() + m_world.targets("west").size();
        if (targets != expected) {
            return std::to_string(targets) + " targets instead of " + std::to_string(expected);
        }
        return {};
    }

    std::mt19937_64 m_random;
    World m_world;
    double m_lateCommandRate;
    int m_jobs = 0;
    std::size_t m_replicas = 0;
    bool m_logUp = true;
    std::map<std::string, bool> m_outOfService;
    std::map<std::string, std::string> m_submittedTo;
    std::vector<std::pair<std::string, std::string>> m_cuts;
};

} // namespace

// Checks P1 to P4 under all faults combined, and guards against work that is lost or orphaned after the faults have
// ended. HYSSOP_SEED runs a single seed and prints its trace on failure; HYSSOP_SEEDS sets the number of seeds.
Test(random, keepsInvariantsUnderAllFaults)
{
    const char *single = std::getenv("HYSSOP_SEED");
    const char *count = std::getenv("HYSSOP_SEEDS");
    const std::uint64_t first = single ? std::strtoull(single, nullptr, 10) : FirstSeed;
    const int seeds = single ? 1 : count ? std::atoi(count) : Seeds;
    std::fprintf(stderr, "seeds %lu to %lu\n", static_cast<unsigned long>(first), static_cast<unsigned long>(first) + static_cast<unsigned long>(seeds) - 1);
    // Events that must occur often enough for the run to be meaningful.
    std::map<std::string, std::size_t> coverage;
    for (const char *text : {"finished", "failed", "evicted", "lost", "not-started", "cancelled", "(void)", "transferred", "restarts", "without lease"}) {
        coverage[text] = 0;
    }
    for (int index = 0; index < seeds; ++index) {
        const std::uint64_t seed = first + static_cast<std::uint64_t>(index);
        RandomFaultRun faultRun(seed);
        const std::string fault = faultRun.run();
        for (auto &[text, times] : coverage) {
            times += faultRun.traceCount(text);
        }
        if (fault.empty()) {
            continue;
        }
        if (single) {
            for (const std::string &line : faultRun.world().trace()) {
                std::fprintf(stderr, "%s\n", line.c_str());
            }
        }
        cr_assert_fail("seed %lu: %s", static_cast<unsigned long>(seed), fault.c_str());
    }
    for (const auto &[text, times] : coverage) {
        cr_assert(single || times >= 10, "only %lu times '%s'", static_cast<unsigned long>(times), text.c_str());
    }
}
