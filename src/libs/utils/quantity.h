#pragma once

#include "result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace Hyssop {

/// Parses a duration with its unit: us, ms, s, min or h, for example "250 ms".
Result<std::chrono::microseconds> parseDuration(std::string_view text);

/// Parses an amount of memory in bytes: B, KB, MB, GB (powers of 1000), KiB, MiB, GiB (powers of 1024).
Result<std::int64_t> parseBytes(std::string_view text);

/// Parses processor cores, for example "2.5", and returns thousandths of a core.
Result<std::int64_t> parseMilliCores(std::string_view text);

/// Parses a rate in events a second, for example "500 /s".
Result<double> parseRate(std::string_view text);

/// Parses a share, for example "10 %", and returns a fraction (0.1).
Result<double> parsePercentage(std::string_view text);

/// Parses a decimal integer without unit.
Result<std::int64_t> parseInteger(std::string_view text);

/// Formats a duration with the largest unit that keeps it an integer.
std::string formatDuration(std::chrono::microseconds duration);

/// Removes white space at both ends.
std::string_view trimmed(std::string_view text);

} // namespace Hyssop
