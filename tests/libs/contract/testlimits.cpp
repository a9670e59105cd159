#include <contract/contract.h>
#include <contract/limits.h>

#include <golden/goldenfile.h>

#include <criterion/criterion.h>

using namespace Hyssop;

static Limits limitsOf(const std::string &name, std::int64_t revision)
{
    auto parsed = parseContract(Test::readTestFile("../examples/contracts/" + name + ".ini"));
    return Limits::derive(std::get<Contract>(parsed), revision);
}

static std::string toText(const Limits &limits)
{
    std::string text = limits.customer + " revision " + std::to_string(limits.revision) + "\n";
    for (const Limit &limit : limits.entries) {
        text += limit.subject + " | " + limit.name + " | " + limit.value + (limit.unit.empty() ? "" : " ") + limit.unit + " | line "
            + std::to_string(limit.line) + (limit.isDefault ? " (default)" : "") + " | " + limit.rule + "\n";
    }
    return text;
}

// Guards against a limit of the example contracts with a wrong value, unit, line or rule, and against a missing limit.
Test(limits, matchGoldenFiles)
{
    for (const char *name : {"cascadia", "mtkvari"}) {
        const std::string difference = Test::differenceFromGolden("limits-" + std::string(name), toText(limitsOf(name, 3)));
        cr_assert(difference.empty(), "%s", difference.c_str());
    }
}

// Guards against a limit that names a line other than the one that sets its key.
Test(limits, nameTheLineOfTheirKey)
{
    const Limits limits = limitsOf("cascadia", 7);
    const Limit *timeout = limits.find("service pass-sales", "request timeout");
    cr_assert(timeout != nullptr && limits.find("service pass-sales", "nothing") == nullptr);
    cr_assert(timeout->value == "2" && timeout->unit == "s" && timeout->revision == 7 && !timeout->isDefault);
    cr_assert_eq(timeout->line, 11);
    const Limit *window = limits.find("service pass-status", "idempotency window");
    cr_assert(window != nullptr && window->isDefault && window->value == "10" && window->unit == "min");
}

// Guards against limits that depend on anything but the contract and its revision.
Test(limits, areEqualForEqualContracts)
{
    cr_assert_eq(toText(limitsOf("mtkvari", 2)), toText(limitsOf("mtkvari", 2)));
}
