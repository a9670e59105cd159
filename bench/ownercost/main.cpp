#include "discardedoutput.h"
#include "modelfleet.h"
#include "ownerbudget.h"
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
    OwnerBudget budget;
    std::int64_t daySeconds = budget.day.count();
    auto add = description.add_options();
    add("help", "print this help");
    add("workers", po::value(&fleetOptions.workers)->default_value(fleetOptions.workers), "number of workers");
    add("jobs", po::value(&fleetOptions.jobsPerSecond)->default_value(fleetOptions.jobsPerSecond), "jobs a second that do not serve");
    add("seed", po::value(&fleetOptions.seed)->default_value(fleetOptions.seed), "seed of the load");
    add("warm-up", po::value(&warmUpSeconds)->default_value(warmUpSeconds), "simulated seconds before the measurement");
    add("seconds", po::value(&seconds)->default_value(seconds), "simulated seconds of the measurement");
    add("messages", po::value(&messages)->default_value(messages), "messages of each kind for the codec and for HTTP");
    add("core-share", po::value(&budget.coreShare)->default_value(budget.coreShare), "part of a core that the owner may use");
    add("slowdown", po::value(&budget.slowdown)->default_value(budget.slowdown), "how many times longer the machine of the budget takes");
    add("require-budget", "exit with 1 if the processor time exceeds the budget");
    add("day", po::value(&daySeconds)->default_value(daySeconds), "seconds of a day");
    po::variables_map options;
    po::store(po::parse_command_line(argc, argv, description), options);
    po::notify(options);
    if (options.count("help") > 0 || fleetOptions.workers < 1 || fleetOptions.jobsPerSecond < 1 || fleetOptions.jobsPerSecond > 1000) {
        std::cout << description;
        return options.count("help") > 0 ? 0 : 2;
    }
    budget.day = std::chrono::seconds(daySeconds);
    const std::chrono::seconds measured(seconds);
    ModelFleet fleet(fleetOptions);
    {
        const DiscardedOutput discarded; // the log lines
        fleet.run(std::chrono::seconds(warmUpSeconds));
        fleet.clearCounts();
        fleet.run(measured);
    }
    StageTimes transport;
    measureCodec(transport, messages);
    measureExchanges(transport, messages);
    const double starts = fleet.eventsPerSecond("starts", measured);
    const double polls = fleet.eventsPerSecond("polls", measured);
    std::vector<StageCost> costs = fleet.costs(measured);
    costs.push_back(transport.cost("encode start", starts));
    costs.push_back(transport.cost("decode clock", starts));
    costs.push_back(transport.cost("encode poll", polls));
    costs.push_back(transport.cost("decode report", polls));
    costs.push_back(transport.cost("HTTP exchange", starts + polls));
    const bool isWithinBudget = printCosts(costs, starts, budget);
    fleet.printCounts(measured);
    return isWithinBudget || options.count("require-budget") == 0 ? 0 : 1;
}
