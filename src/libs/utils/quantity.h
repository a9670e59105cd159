#pragma once

#include "result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace Hyssop {

/// Parses a duration with a unit (us, ms, s, min or h), for example "250 ms".
Result<std::chrono::microseconds> parseDuration(std::string_view text);

/// Parses a memory size with a unit (B; KB, MB, GB as powers of 1000; KiB, MiB, GiB as powers of 1024) and returns bytes.
Result<std::int64_t> parseBytes(std::string_view text);

/// Parses a number of processor cores, for example "2.5", and returns millicores.
Result<std::int64_t> parseMilliCores(std::string_view text);

/// Parses a rate in events per second, for example "500 /s".
Result<double> parseRate(std::string_view text);

/// Parses a percentage, for example "10 %", and returns it as a fraction (0.1).
Result<double> parsePercentage(std::string_view text);

/// Parses a decimal integer without a unit.
Result<std::int64_t> parseInteger(std::string_view text);

/// Formats a duration as an integer with the largest possible unit.
std::string formatDuration(std::chrono::microseconds duration);

/// Returns @p text without leading and trailing white space.
std::string_view trimmed(std::string_view text);

} // namespace Hyssop
