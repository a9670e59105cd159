#pragma once

#include "taskid.h"

#include <utils/error.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Hyssop {

/// Workers on which a step may run, as decided by the advice service.
struct PlacementAdvice
{
    std::map<std::string, std::string> tickets; // by worker id; a ticket is passed to the worker with the start command
    std::chrono::milliseconds validity{0};
};

using AdviceResult = std::variant<PlacementAdvice, Error>;

/// Interface of the external service that decides on which of the given workers the policy of a queue allows a step to run.
class AdviceService
{
public:
    virtual ~AdviceService() = default;

    virtual boost::asio::awaitable<AdviceResult> requestAdvice(TaskId step, std::vector<std::string> workers, std::chrono::milliseconds timeout) = 0;
};

} // namespace Hyssop
