#pragma once

#include <utils/error.h>

#include <boost/asio/awaitable.hpp>

#include <set>
#include <string>
#include <variant>

namespace Hyssop {

/// Ids of the worker processes that exist, or why they could not be listed.
using LiveWorkersResult = std::variant<std::set<std::string>, Error>;

/// Interface of the platform's list of machines, which names the worker process on each of them.
class MachineDirectory
{
public:
    virtual ~MachineDirectory() = default;

    /// Lists the workers on all machines. An incomplete list is an error.
    virtual boost::asio::awaitable<LiveWorkersResult> liveWorkers() = 0;
};

} // namespace Hyssop
