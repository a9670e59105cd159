#pragma once

#include <compare>
#include <cstdint>

namespace Hyssop {

/// Offset of the first record that is ever written to a stream.
constexpr std::int64_t FirstLogOffset = 1;

/// Position of a record in a stream.
struct LogPosition
{
    std::int64_t offset = -1;
    int index = 0; // in the batch

    auto operator<=>(const LogPosition &other) const = default;
};

} // namespace Hyssop
