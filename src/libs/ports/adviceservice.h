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

/// Workers that may run a step.
struct PlacementAdvice
{
    std::map<std::string, std::string> tickets; // by worker id
    std::chrono::milliseconds validity{0};
};

using AdviceResult = std::variant<PlacementAdvice, Error>;

/// Tells which workers the policy of a queue allows for a step.
class AdviceService
{
public:
    virtual ~AdviceService() = default;

    virtual boost::asio::awaitable<AdviceResult> requestAdvice(TaskId step, std::vector<std::string> workers) = 0;
};

} // namespace Hyssop
