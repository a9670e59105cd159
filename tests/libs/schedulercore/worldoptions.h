#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Hyssop::Testing {

struct WorldOptions
{
    std::uint64_t seed = 1;
    int schedulers = 2; // in each failure domain
    int workers = 3; // in each failure domain
    std::vector<std::string> domains{"east", "west"};
    std::chrono::milliseconds maximumDelay{20}; // of one message
    double lateRenewalRate = 0; // share of renewals that the worker processes seconds after the sender's timeout
    double lossRate = 0; // share of messages that are lost
    double lateCommandRate = 0; // share of commands that arrive seconds later, after the sender's timeout
    double slowAppendRate = 0; // share of appends that take several seconds
    double droppedAppendRate = 0; // share of appends that are neither written nor answered
    std::chrono::milliseconds logOutageGrace{15 * 60 * 1000};
};

} // namespace Hyssop::Testing
