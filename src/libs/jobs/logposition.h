#pragma once

#include <compare>
#include <cstdint>

namespace Hyssop {

/// Position of a record in a stream.
struct LogPosition
{
    std::int64_t offset = -1;
    int index = 0; // in the batch

    auto operator<=>(const LogPosition &other) const = default;
};

} // namespace Hyssop
