#include "modelfleet.h"
#include "transportcost.h"

#include <boost/program_options.hpp>

#include <iostream>

using namespace Hyssop;
using namespace Hyssop::Bench;

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description description("Measures the processor time of the owner of the job topic, by stage");
    FleetOptions fleetOptions;
    int warmUpSeconds = 6;
    int seconds = 6;
    int messages = 20000;
    auto add = description.add_options();
    add("help", "print this help");
    add("workers", po::value(&fleetOptions.workers)->default_value(fleetOptions.workers), "number of workers");
    add("jobs", po::value(&fleetOptions.jobsPerSecond)->default_value(fleetOptions.jobsPerSecond), "jobs a second that do not serve");
    add("seed", po::value(&fleetOptions.seed)->default_value(fleetOptions.seed), "seed of the load");
    add("warm-up", po::value(&warmUpSeconds)->default_value(warmUpSeconds), "simulated seconds before the measurement");
    add("seconds", po::value(&seconds)->default_value(seconds), "simulated seconds of the measurement");
    add("messages", po::value(&messages)->default_value(messages), "messages of each kind for the codec and for HTTP");
    po::variables_map options;
    po::store(po::parse_command_line(argc, argv, description), options);
    po::notify(options);
    if (options.count("help") > 0 || fleetOptions.workers < 1 || fleetOptions.jobsPerSecond < 1 || fleetOptions.jobsPerSecond > 1000) {
        std::cout << description;
        return options.count("help") > 0 ? 0 : 2;
    }
    ModelFleet fleet(fleetOptions);
    fleet.run(std::chrono::seconds(warmUpSeconds));
    fleet.clearCounts();
    fleet.run(std::chrono::seconds(seconds));
    fleet.print(std::chrono::seconds(seconds));

    StageTimes transport;
    measureCodec(transport, messages);
    measureExchanges(transport, messages);
    transport.print(std::chrono::seconds(1));
    return 0;
}
