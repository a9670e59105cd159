#include "baselineplacer.h"
#include "clustermodel.h"
#include "engineplacer.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <exception>
#include <fstream>
#include <functional>
#include <future>
#include <iostream>
#include <memory>
#include <vector>

using namespace Hyssop;
using namespace Hyssop::Bench;

namespace {

using WorkloadFactory = Workload (*)(std::uint64_t);
using PlacerFactory = std::function<std::unique_ptr<Placer>(const Workload &, std::uint64_t)>;

struct Policy
{
    std::string name;
    PlacerFactory create;
};

struct Metric
{
    const char *name;
    double RunResult::*value;
};

constexpr Metric Metrics[] = {
    {"p50", &RunResult::p50},
    {"p99", &RunResult::p99},
    {"p99.9", &RunResult::p999},
    {"completed", &RunResult::completedTasks},
    {"work_core_h", &RunResult::keptCoreHours},
    {"evictions", &RunResult::evictions},
    {"lost_to_evictions", &RunResult::lostToEvictionsShare},
    {"wasted", &RunResult::wastedShare},
    {"utilization", &RunResult::utilization},
    {"domain_work_core_h", &RunResult::coreHoursDuringOutage},
    {"urgent_worst_s", &RunResult::worstUrgentDelay},
    {"rejected_wrongly", &RunResult::wrongRejections},
    {"replicas_missing", &RunResult::missingReplicas},
};

Policy enginePolicy(const std::string &name, bool PlacementOptions::*disabled)
{
    return Policy{name, [disabled](const Workload &workload, std::uint64_t seed) {
                      PlacementOptions options;
                      options.seed = seed;
                      if (disabled) {
                          options.*disabled = false;
                      }
                      return std::make_unique<EnginePlacer>(options, workload.contract);
                  }};
}

Policy baselinePolicy(const std::string &name, Baseline kind)
{
    return Policy{name, [kind](const Workload &workload, std::uint64_t /*seed*/) { return std::make_unique<BaselinePlacer>(kind, workload.serviceWorkers); }};
}

std::vector<Policy> comparisonPolicies()
{
    return {enginePolicy("engine", nullptr),
            baselinePolicy("first-fit", Baseline::FirstFit),
            baselinePolicy("least-loaded", Baseline::LeastLoaded),
            baselinePolicy("own-workers", Baseline::DedicatedWorkers)};
}

std::vector<Policy> ablationPolicies()
{
    return {enginePolicy("engine", nullptr),
            enginePolicy("without-interference", &PlacementOptions::interference),
            enginePolicy("without-exploration", &PlacementOptions::exploration),
            enginePolicy("without-size-correction", &PlacementOptions::sizeCorrection),
            enginePolicy("without-throttling", &PlacementOptions::throttling),
            enginePolicy("without-eviction", &PlacementOptions::eviction),
            enginePolicy("without-preemption", &PlacementOptions::preemption),
            enginePolicy("without-head-reservation", &PlacementOptions::headReservation),
            enginePolicy("without-backfill", &PlacementOptions::backfill),
            enginePolicy("without-quarantine", &PlacementOptions::quarantine),
            enginePolicy("without-rack-spread", &PlacementOptions::rackSpread)};
}

std::vector<RunResult> runSeeds(const Policy &policy, WorkloadFactory workloadFactory, int seeds, std::size_t parallel)
{
    std::vector<RunResult> results(static_cast<std::size_t>(seeds));
    for (std::size_t first = 0; first < results.size(); first += parallel) {
        std::vector<std::future<void>> runs;
        for (std::size_t i = first; i < std::min(results.size(), first + parallel); ++i) {
            runs.push_back(std::async(std::launch::async, [&, i] {
                const std::uint64_t seed = i + 1;
                const Workload workload = workloadFactory(seed);
                const auto placer = policy.create(workload, seed);
                results[i] = ClusterModel(workload, *placer, seed).run();
            }));
        }
        for (auto &run : runs) {
            run.get();
        }
    }
    return results;
}

void writeRows(std::ostream &out, const std::string &workload, const std::string &policy, const std::vector<RunResult> &results)
{
    for (const Metric &metric : Metrics) {
        std::vector<double> values;
        values.reserve(results.size());
        for (const RunResult &result : results) {
            values.push_back(result.*metric.value);
        }
        std::sort(values.begin(), values.end());
        double mean = 0;
        for (const double value : values) {
            mean += value / static_cast<double>(values.size());
        }
        double variance = 0;
        for (const double value : values) {
            variance += (value - mean) * (value - mean) / static_cast<double>(values.size());
        }
        char line[256];
        std::snprintf(line,
                      sizeof line,
                      "%s,%s,%s,%.5g,%.3g,%.5g,%.5g\n",
                      workload.c_str(),
                      policy.c_str(),
                      metric.name,
                      mean,
                      std::sqrt(variance),
                      values.front(),
                      values.back());
        out << line;
    }
    out.flush();
}

int runBench(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description description("Compares the placement policy with baselines on simulated workloads");
    int seeds = 10;
    std::size_t parallel = 4;
    std::string output;
    std::string only;
    description.add_options()("help", "print this help")("seeds", po::value(&seeds)->default_value(seeds), "number of runs per policy")(
        "parallel", po::value(&parallel)->default_value(parallel), "number of concurrent runs")("ablation", "disable the features of the engine one at a time")(
        "only", po::value(&only), "run only this policy")("output", po::value(&output), "CSV file; default is standard output");
    po::variables_map options;
    po::store(po::parse_command_line(argc, argv, description), options);
    po::notify(options);
    if (options.count("help") > 0 || seeds < 1 || parallel < 1) {
        std::cout << description;
        return options.count("help") > 0 ? 0 : 2;
    }
    std::ofstream file;
    if (!output.empty()) {
        file.open(output);
    }
    std::ostream &out = output.empty() ? std::cout : file;
    out << "workload,policy,metric,mean,deviation,lowest,highest\n";
    for (const auto &[name, workloadFactory] :
         {std::pair<std::string, WorkloadFactory>("cascadia", cascadia), std::pair<std::string, WorkloadFactory>("mtkvari", mtkvari)}) {
        for (const Policy &policy : options.count("ablation") > 0 ? ablationPolicies() : comparisonPolicies()) {
            if (!only.empty() && only != policy.name) {
                continue;
            }
            writeRows(out, name, policy.name, runSeeds(policy, workloadFactory, seeds, parallel));
        }
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runBench(argc, argv);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "bench-policy: %s\n", error.what());
        return 2;
    }
}
