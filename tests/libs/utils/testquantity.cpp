#include <utils/quantity.h>

#include <criterion/criterion.h>

using namespace Hyssop;

template<typename Operation>
static bool isRejected(Operation operation)
{
    auto outcome = capture(operation);
    return errorOf(outcome) != nullptr;
}

// Guards against a wrong conversion factor for a unit.
Test(quantity, parsesUnits)
{
    auto duration = capture([] { return parseDuration("250 ms"); });
    cr_assert(valueOf(duration) != nullptr);
    cr_assert(*valueOf(duration) == std::chrono::milliseconds(250));
    auto bytes = capture([] { return parseBytes("4 GB"); });
    cr_assert(*valueOf(bytes) == 4'000'000'000);
    auto cores = capture([] { return parseMilliCores("2.5"); });
    cr_assert(*valueOf(cores) == 2500);
    auto rate = capture([] { return parseRate("500 /s"); });
    cr_assert(*valueOf(rate) == 500);
    auto percentage = capture([] { return parsePercentage("10 %"); });
    cr_assert_float_eq(*valueOf(percentage), 0.1, 1e-9);
}

// Guards against limits that become zero or unbounded because invalid input is accepted.
Test(quantity, rejectsMissingUnitsSignsAndOverflow)
{
    cr_assert(isRejected([] { return parseDuration("250"); }));
    cr_assert(isRejected([] { return parseDuration("-1 s"); }));
    cr_assert(isRejected([] { return parseDuration("inf s"); }));
    cr_assert(isRejected([] { return parseBytes("1e300 GB"); }));
    cr_assert(isRejected([] { return parseMilliCores("2 cores"); }));
    cr_assert(isRejected([] { return parseInteger("12x"); }));
    cr_assert(isRejected([] { return parseInteger(""); }));
}

// Guards against values that change when they are formatted and parsed again.
Test(quantity, formatsAsItParses)
{
    for (const char *text : {"0 ms", "250 ms", "6500 ms", "10 s", "15 min", "1 h", "7 us"}) {
        auto duration = capture([&] { return parseDuration(text); });
        cr_assert_eq(formatDuration(*valueOf(duration)), text);
    }
}
