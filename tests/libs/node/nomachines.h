#pragma once

#include <ports/machinedirectory.h>

namespace Hyssop::Testing {

/// Has no list of machines.
class NoMachines : public MachineDirectory
{
public:
    boost::asio::awaitable<LiveWorkersResult> liveWorkers() override { co_return Error{ErrorCode::Unavailable, "no list of machines"}; }
};

} // namespace Hyssop::Testing
