#include "discardedoutput.h"
#include "modelfleet.h"
#include "ownerbudget.h"
#include "transportcost.h"

#include <boost/program_options.hpp>

#include <iostream>

using namespace Hyssop;
using namespace Hyssop::Bench;

namespace {

/// Returns the processor time of a command to a worker in addition to the stages of the owner.
std::chrono::nanoseconds exchangeTime(const StageTimes &transport)
{
    const double microseconds =
        transport.cost("HTTP exchange", 1).microseconds + transport.cost("encode start", 1).microseconds + transport.cost("decode clock", 1).microseconds;
    return std::chrono::nanoseconds(static_cast<std::int64_t>(microseconds * 1000));
}

void run(ModelFleet &fleet, std::chrono::seconds time, bool printsProgress)
{
    constexpr std::chrono::seconds Interval{2};
    for (std::chrono::seconds passed{0}; passed < time; passed += Interval) {
        {
            const DiscardedOutput discarded; // the log lines
            fleet.run(std::min(Interval, time - passed));
        }
        if (printsProgress) {
            fleet.printProgress();
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description description("Measures the processor time of the owner of the job topic, by stage");
    FleetOptions fleetOptions;
    int warmUpSeconds = 6;
    int seconds = 6;
    int messages = 20000;
    int burstBegin = 0;
    int burstEnd = 0;
    OwnerBudget budget;
    std::int64_t daySeconds = budget.day.count();
    auto add = description.add_options();
    add("help", "print this help");
    add("workers", po::value(&fleetOptions.workers)->default_value(fleetOptions.workers), "number of workers");
    add("jobs", po::value(&fleetOptions.jobsPerSecond)->default_value(fleetOptions.jobsPerSecond), "jobs a second that do not serve");
    add("seed", po::value(&fleetOptions.seed)->default_value(fleetOptions.seed), "seed of the load");
    add("burst-jobs", po::value(&fleetOptions.burstJobsPerSecond), "jobs a second during a burst");
    add("burst-begin", po::value(&burstBegin)->default_value(burstBegin), "begin of the burst, in simulated seconds");
    add("burst-end", po::value(&burstEnd)->default_value(burstEnd), "end of the burst, in simulated seconds");
    add("charge", po::value(&fleetOptions.coreShare), "delay the owner by its processor time on this part of a core, and print the progress");
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
    fleetOptions.burstBegin = std::chrono::seconds(burstBegin);
    fleetOptions.burstEnd = std::chrono::seconds(burstEnd);
    const std::chrono::seconds measured(seconds);
    StageTimes transport;
    measureCodec(transport, messages);
    measureExchanges(transport, messages);
    fleetOptions.exchangeTime = exchangeTime(transport);
    ModelFleet fleet(fleetOptions);
    run(fleet, std::chrono::seconds(warmUpSeconds), fleetOptions.coreShare > 0);
    fleet.clearCounts();
    run(fleet, measured, fleetOptions.coreShare > 0);
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
