#include "soakrun.h"

#include <boost/program_options.hpp>

#include <filesystem>
#include <iostream>
#include <random>
#include <unistd.h>

using namespace Hyssop::Soak;

namespace po = boost::program_options;

namespace {

/// Runs one seed, prints its result line and returns true if no guarantee was violated. Keeps the logs of a failed seed.
bool runSeed(SoakOptions options, const std::string &directory)
{
    options.directory = directory + "/seed-" + std::to_string(options.seed);
    const SoakResult result = runSoak(options);
    std::cout << "seed " << options.seed << ": " << result.faults.size() << " faults, " << result.jobs << " jobs, " << result.accepted << " accepted, "
              << result.cancelled << " cancelled, " << result.runs << " runs, settled in " << result.settlingTime.count() << " ms, " << result.violations.size()
              << " broken" << std::endl;
    for (const std::string &line : result.violations) {
        std::cout << "  " << line << std::endl;
    }
    if (result.violations.empty()) {
        std::filesystem::remove_all(options.directory);
        return true;
    }
    for (const std::string &fault : result.faults) {
        std::cout << "  fault: " << fault << std::endl;
    }
    std::cout << "  logs: " << options.directory << std::endl;
    return false;
}

} // namespace

/// Randomized runs of hyssop-node as processes, with faults injected from outside. Exits 1 if a guarantee was violated.
int main(int argc, char **argv)
{
    SoakOptions options;
    int count = 1;
    int seconds = 12;
    std::string directory = "/tmp/hyssop-soak-" + std::to_string(::getpid());
    po::options_description description("Usage: hyssop-soak [options]");
    description.add_options()("help", "Show this help.")("seed", po::value(&options.seed), "First seed; a random one if absent.")(
        "count", po::value(&count), "Number of seeds.")("seconds", po::value(&seconds), "Time in which faults are injected.")(
        "nodes", po::value(&options.nodes), "Number of hyssop-node processes, 1 to 20.")("workers", po::value(&options.workers), "Number of workers, 1 to 40.")(
        "directory", po::value(&directory), "Folder for settings and logs.");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    if (!values.contains("seed")) {
        options.seed = std::random_device()();
    }
    options.faultDuration = std::chrono::seconds(seconds);
    int failed = 0;
    for (int index = 0; index < count; ++index, ++options.seed) {
        failed += runSeed(options, directory) ? 0 : 1;
    }
    std::cout << count - failed << " of " << count << " seeds without a broken promise" << std::endl;
    return failed > 0 ? 1 : 0;
}
