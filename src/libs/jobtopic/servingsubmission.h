#pragma once

#include <cstdint>
#include <string>

namespace Hyssop {

/// What the serving tasks of a submitted job reserve.
struct ServingSubmission
{
    std::string queue;
    std::int64_t milliCores = 0;
};

} // namespace Hyssop
