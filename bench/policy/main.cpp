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

using WorkloadOf = Workload (*)(std::uint64_t);
using PlacerOf = std::function<std::unique_ptr<Placer>(const Workload &, std::uint64_t)>;

struct Policy
{
    std::string name;
    PlacerOf create;
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
    {"completed", &RunResult::completed},
    {"work_core_h", &RunResult::work},
    {"evictions", &RunResult::evictions},
    {"lost_to_evictions", &RunResult::lostToEvictions},
    {"wasted", &RunResult::wasted},
    {"utilization", &RunResult::utilization},
    {"domain_work_core_h", &RunResult::workWhileDomainOut},
    {"urgent_worst_s", &RunResult::urgentWorst},
    {"rejected_wrongly", &RunResult::rejectedWrongly},
    {"replicas_missing", &RunResult::replicasMissing},
};

Policy engine(const std::string &name, bool PlacementOptions::*disabled)
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

Policy baseline(const std::string &name, Baseline kind)
{
    return Policy{name, [kind](const Workload &workload, std::uint64_t /*seed*/) { return std::make_unique<BaselinePlacer>(kind, workload.serviceWorkers); }};
}

std::vector<Policy> comparison()
{
    return {engine("engine", nullptr),
            baseline("first-fit", Baseline::FirstFit),
            baseline("least-loaded", Baseline::LeastLoaded),
            baseline("own-workers", Baseline::OwnWorkers)};
}

std::vector<Policy> ablation()
{
    return {engine("engine", nullptr),
            engine("without-interference", &PlacementOptions::interference),
            engine("without-exploration", &PlacementOptions::exploration),
            engine("without-size-correction", &PlacementOptions::sizeCorrection),
            engine("without-throttling", &PlacementOptions::throttling),
            engine("without-eviction", &PlacementOptions::eviction),
            engine("without-preemption", &PlacementOptions::preemption),
            engine("without-head-reservation", &PlacementOptions::headReservation),
            engine("without-backfill", &PlacementOptions::backfill),
            engine("without-quarantine", &PlacementOptions::quarantine),
            engine("without-rack-spread", &PlacementOptions::rackSpread)};
}

std::vector<RunResult> runSeeds(const Policy &policy, WorkloadOf workloadOf, int seeds, std::size_t parallel)
{
    std::vector<RunResult> results(static_cast<std::size_t>(seeds));
    for (std::size_t first = 0; first < results.size(); first += parallel) {
        std::vector<std::future<void>> runs;
        for (std::size_t i = first; i < std::min(results.size(), first + parallel); ++i) {
            runs.push_back(std::async(std::launch::async, [&, i] {
                const std::uint64_t seed = i + 1;
                const Workload workload = workloadOf(seed);
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
    po::options_description description("Compares the placement policy with baselines on model workloads");
    int seeds = 10;
    std::size_t parallel = 4;
    std::string output;
    std::string only;
    description.add_options()("help", "print this text")("seeds", po::value(&seeds)->default_value(seeds), "runs of each policy")(
        "parallel", po::value(&parallel)->default_value(parallel), "runs at the same time")("ablation", "switch off each feature of the engine alone")(
        "only", po::value(&only), "run this policy alone")("output", po::value(&output), "CSV file; default is standard output");
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
    for (const auto &[name, workloadOf] : {std::pair<std::string, WorkloadOf>("cascadia", cascadia), std::pair<std::string, WorkloadOf>("mtkvari", mtkvari)}) {
        for (const Policy &policy : options.count("ablation") > 0 ? ablation() : comparison()) {
            if (!only.empty() && only != policy.name) {
                continue;
            }
            writeRows(out, name, policy.name, runSeeds(policy, workloadOf, seeds, parallel));
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
