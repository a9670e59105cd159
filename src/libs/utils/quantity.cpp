#include "quantity.h"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace Hyssop {

namespace Internal {

struct Number
{
    double value = 0;
    std::string_view unit;
};

struct Unit
{
    std::string_view name;
    double factor;
};

constexpr std::array DurationUnits{
    Unit{"us", 1},
    Unit{"ms", 1e3},
    Unit{"s", 1e6},
    Unit{"min", 60e6},
    Unit{"h", 3600e6},
};

constexpr std::array ByteUnits{
    Unit{"B", 1},
    Unit{"KB", 1e3},
    Unit{"MB", 1e6},
    Unit{"GB", 1e9},
    Unit{"KiB", 1024},
    Unit{"MiB", 1048576},
    Unit{"GiB", 1073741824},
};

// Larger integers (above 2^53) lose precision as a double.
constexpr double MaximumExactInteger = 9007199254740992.0;

static Result<Number> parseNumber(std::string_view text)
{
    const std::string_view input = trimmed(text);
    double value = 0;
    const auto parsed = std::from_chars(input.data(), input.data() + input.size(), value);
    if (parsed.ec != std::errc() || !std::isfinite(value)) {
        return fail(ErrorCode::InvalidArgument, "\"" + std::string(text) + "\" is not a number");
    }
    if (value < 0) {
        return fail(ErrorCode::InvalidArgument, "\"" + std::string(text) + "\" is negative");
    }
    const std::size_t length = static_cast<std::size_t>(parsed.ptr - input.data());
    return Number{value, trimmed(input.substr(length))};
}

template<typename Units>
static Result<std::int64_t> parseWithUnit(std::string_view text, const Units &units, const char *expected)
{
    BOOST_LEAF_AUTO(number, parseNumber(text));
    for (const Unit &unit : units) {
        if (unit.name != number.unit) {
            continue;
        }
        const double scaled = std::round(number.value * unit.factor);
        if (scaled > MaximumExactInteger) {
            return fail(ErrorCode::InvalidArgument, "\"" + std::string(text) + "\" is too large");
        }
        return static_cast<std::int64_t>(scaled);
    }
    return fail(ErrorCode::InvalidArgument, "\"" + std::string(text) + "\" needs one of the units " + expected);
}

} // namespace Internal

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view WhiteSpace = " \t\r\n";
    const std::size_t first = text.find_first_not_of(WhiteSpace);
    if (first == std::string_view::npos) {
        return {};
    }
    const std::size_t last = text.find_last_not_of(WhiteSpace);
    return text.substr(first, last - first + 1);
}

Result<std::chrono::microseconds> parseDuration(std::string_view text)
{
    BOOST_LEAF_AUTO(value, Internal::parseWithUnit(text, Internal::DurationUnits, "us, ms, s, min, h"));
    return std::chrono::microseconds(value);
}

Result<std::int64_t> parseBytes(std::string_view text)
{
    return Internal::parseWithUnit(text, Internal::ByteUnits, "B, KB, MB, GB, KiB, MiB, GiB");
}

Result<std::int64_t> parseMilliCores(std::string_view text)
{
    BOOST_LEAF_AUTO(number, Internal::parseNumber(text));
    if (!number.unit.empty()) {
        return fail(ErrorCode::InvalidArgument, "\"" + std::string(text) + "\" must be a number of cores without unit");
    }
    constexpr double MaximumCoreCount = 1e6;
    if (number.value > MaximumCoreCount) {
        return fail(ErrorCode::InvalidArgument, "\"" + std::string(text) + "\" is too large");
    }
    return static_cast<std::int64_t>(std::round(number.value * 1000));
}

Result<double> parseRate(std::string_view text)
{
    BOOST_LEAF_AUTO(number, Internal::parseNumber(text));
    if (number.unit != "/s") {
        return fail(ErrorCode::InvalidArgument, "\"" + std::string(text) + "\" needs the unit /s");
    }
    return number.value;
}

Result<double> parsePercentage(std::string_view text)
{
    BOOST_LEAF_AUTO(number, Internal::parseNumber(text));
    if (number.unit != "%") {
        return fail(ErrorCode::InvalidArgument, "\"" + std::string(text) + "\" needs the unit %");
    }
    return number.value / 100;
}

Result<std::int64_t> parseInteger(std::string_view text)
{
    const std::string_view input = trimmed(text);
    std::int64_t value = 0;
    const auto parsed = std::from_chars(input.data(), input.data() + input.size(), value);
    if (input.empty() || parsed.ec != std::errc() || parsed.ptr != input.data() + input.size()) {
        return fail(ErrorCode::InvalidArgument, "\"" + std::string(text) + "\" is not an integer");
    }
    return value;
}

std::string formatDuration(std::chrono::microseconds duration)
{
    const std::int64_t count = duration.count();
    for (auto unit = Internal::DurationUnits.rbegin(); unit != Internal::DurationUnits.rend(); ++unit) {
        const auto factor = static_cast<std::int64_t>(unit->factor);
        if (count % factor == 0 && (count != 0 || factor == 1000)) {
            return std::to_string(count / factor) + " " + std::string(unit->name);
        }
    }
    return std::to_string(count) + " us";
}

} // namespace Hyssop
