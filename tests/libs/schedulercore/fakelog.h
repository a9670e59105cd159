#pragma once

#include "hyssop_types.h"

#include <utils/clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Hyssop::Testing {

/// One stream of the fake log; the index is the offset.
struct FakeRecord
{
    WallTime time;
    Wire::Record record;
};

/// Returns one line about @p record for the trace.
std::string describe(const Wire::Record &record);

} // namespace Hyssop::Testing
