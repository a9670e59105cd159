#pragma once

#include <cstdint>

namespace Hyssop {

/// Factor for memory sizes that are given in megabytes.
constexpr std::int64_t BytesPerMegabyte = 1'000'000;

/// Resources that a worker offers or a task requires.
struct Resources
{
    std::int64_t milliCores = 0;
    std::int64_t memoryBytes = 0;
    std::int32_t accelerators = 0;
    std::int32_t slots = 0;

    /// Returns true if no amount is larger than the one in @p available.
    bool fitsIn(const Resources &available) const;

    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);

    friend Resources operator+(Resources left, const Resources &right) { return left += right; }
    friend Resources operator-(Resources left, const Resources &right) { return left -= right; }
    bool operator==(const Resources &other) const = default;
};

} // namespace Hyssop
