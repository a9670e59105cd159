#include <contract/contract.h>

#include <golden/goldenfile.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <random>

using namespace Hyssop;
using namespace std::chrono_literals;

using Errors = std::vector<ContractError>;
using Section = std::map<std::string, std::string>;

static const Section CustomerSection{{"customer", "acme"}, {"favor", "latency"}, {"batch_share", "50 %"}, {"eviction_budget", "1 %"}};
static const Section ServiceSection{
    {"latency_objective", "50 ms"},
    {"timeout", "1 s"},
    {"concurrency", "10"},
    {"rate", "5 /s"},
    {"replicas", "2"},
    {"cores", "1"},
    {"memory", "1 GB"},
    {"accelerators", "0"},
    {"command", "serve"},
    {"retry_share", "10 %"},
    {"maximum_attempts", "2"},
    {"idempotency_window", "1 min"},
    {"single_copy", "no"},
    {"priority", "1"},
};
static const Section TeamSection{{"share", "1"}, {"cores", "8"}, {"memory", "8 GB"}, {"accelerators", "0"}, {"slots", "4"}, {"urgent", "no"}};

static std::string sectionText(const std::string &name, const Section &section)
{
    std::string text = "[" + name + "]\n";
    for (const auto &entry : section) {
        text += entry.first + " = " + entry.second + "\n";
    }
    return text;
}

static std::string contractText(const Section &customer = CustomerSection, const Section &service = ServiceSection, const Section &team = TeamSection)
{
    return sectionText("contract", customer) + sectionText("service web", service) + sectionText("team print", team);
}

static Errors errorsOf(std::string_view text)
{
    auto parsed = parseContract(text);
    const auto *errors = std::get_if<Errors>(&parsed);
    return errors == nullptr ? Errors() : *errors;
}

static std::string toText(const Errors &errors)
{
    std::string text;
    for (const ContractError &error : errors) {
        text += std::to_string(error.line) + ": " + error.message + "\n";
    }
    return text;
}

static Section with(Section section, const std::string &key, const std::string &value)
{
    section[key] = value;
    return section;
}

/// Checks that @p text has exactly one error, reported for @p key on the line that sets it.
static void checkSingleError(const std::string &text, const std::string &key, const std::string &value)
{
    const Errors errors = errorsOf(text);
    cr_assert_eq(errors.size(), 1, "%s = %s gave %zu errors:\n%s", key.c_str(), value.c_str(), errors.size(), toText(errors).c_str());
    cr_assert(errors[0].message.starts_with(key + ": "), "%s", errors[0].message.c_str());
    const std::size_t position = text.find("\n" + key + " = " + value + "\n") + 1;
    const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(position), '\n');
    cr_assert_eq(errors[0].line, line);
}

// Guards against rejecting a valid contract, and against storing a value in the wrong member.
Test(contract, readsEveryKey)
{
    const Section service = with(with(ServiceSection, "single_copy", "yes"), "accelerators", "2");
    const Section team = with(with(with(TeamSection, "urgent", "yes"), "accelerators", "3"), "share", "2.5");
    auto parsed = parseContract(contractText(CustomerSection, service, team));
    const auto *contract = std::get_if<Contract>(&parsed);
    cr_assert(contract != nullptr);
    cr_assert(contract->customer == "acme" && contract->favor == Favor::Latency);
    cr_assert_eq(contract->batchShare, 0.5);
    cr_assert_eq(contract->evictionBudget, 0.01);
    const ServiceContract *web = contract->service("web");
    cr_assert(web != nullptr && contract->service("other") == nullptr);
    cr_assert(web->latencyObjective == 50ms && web->timeout == 1s && web->idempotencyWindow == 1min);
    cr_assert(web->concurrency == 10 && web->ratePerSecond == 5 && web->replicas == 2 && web->priority == 1);
    cr_assert(web->task == (Resources{1000, 1'000'000'000, 2, 1}));
    cr_assert(web->command == "serve" && web->retryShare == 0.1 && web->maximumAttempts == 2 && web->singleCopy);
    const TeamContract *print = contract->team("print");
    cr_assert(print != nullptr && contract->team("other") == nullptr);
    cr_assert(print->quota == (Resources{8000, 8'000'000'000, 3, 4}));
    cr_assert(print->share == 2.5 && print->urgent);
}

// Guards against defaults that differ from the documented ones.
Test(contract, fillsDefaults)
{
    auto parsed = parseContract(
        "[contract]\ncustomer = a\nfavor = throughput\n"
        "[service s]\nlatency_objective = 1 ms\ntimeout = 1 ms\nconcurrency = 1\nrate = 1 /s\nreplicas = 1\ncores = 1\nmemory = 1 GB\ncommand = c\n"
        "[team t]\ncores = 1\nmemory = 1 GB\nslots = 1\n");
    const auto *contract = std::get_if<Contract>(&parsed);
    cr_assert(contract != nullptr);
    cr_assert(contract->favor == Favor::Throughput && contract->batchShare == 1 && contract->evictionBudget == 0);
    const ServiceContract &service = contract->services.front();
    cr_assert(service.idempotencyWindow == 10min && service.maximumAttempts == 1 && service.retryShare == 0);
    cr_assert(!service.singleCopy && service.priority == 0 && service.task.accelerators == 0);
    const TeamContract &team = contract->teams.front();
    cr_assert(team.share == 1 && !team.urgent && team.quota.accelerators == 0);
}

// Guards against a key whose range or unit is not checked.
Test(contract, refusesEachKeyOutOfRange)
{
    const std::string longName(41, 'a');
    const std::vector<std::pair<std::string, std::string>> customer{
        {"customer", "Acme"},
        {"customer", "a_b"},
        {"customer", longName},
        {"favor", "both"},
        {"batch_share", "101 %"},
        {"batch_share", "0.5"},
        {"eviction_budget", "100.1 %"},
        {"eviction_budget", "-1 %"},
    };
    for (const auto &[key, value] : customer) {
        checkSingleError(contractText(with(CustomerSection, key, value)), key, value);
    }
    const std::vector<std::pair<std::string, std::string>> service{
        {"latency_objective", "99 us"},
        {"latency_objective", "50"},
        {"timeout", "999 us"},
        {"timeout", "601 s"},
        {"timeout", "1 m"},
        {"concurrency", "0"},
        {"concurrency", "100001"},
        {"concurrency", "1.5"},
        {"rate", "0.09 /s"},
        {"rate", "1000001 /s"},
        {"rate", "5"},
        {"replicas", "-1"},
        {"replicas", "10001"},
        {"cores", "0.009"},
        {"cores", "1025"},
        {"cores", "1 cores"},
        {"memory", "999 KB"},
        {"memory", "16001 GB"},
        {"memory", "1 TB"},
        {"accelerators", "-1"},
        {"accelerators", "65"},
        {"retry_share", "50.1 %"},
        {"retry_share", "0.1"},
        {"maximum_attempts", "0"},
        {"maximum_attempts", "11"},
        {"idempotency_window", "999 ms"},
        {"idempotency_window", "13 h"},
        {"single_copy", "true"},
        {"priority", "-1"},
        {"priority", "10"},
        {"command", std::string(1025, 'x')},
        {"command", "a\tb"},
    };
    for (const auto &[key, value] : service) {
        checkSingleError(contractText(CustomerSection, with(ServiceSection, key, value)), key, value);
    }
    const std::vector<std::pair<std::string, std::string>> team{
        {"share", "0.009"},
        {"share", "1001"},
        {"share", "10 %"},
        {"share", "nan"},
        {"cores", "1000001"},
        {"cores", "-1"},
        {"memory", "9000001 GB"},
        {"memory", "5"},
        {"accelerators", "100001"},
        {"slots", "1000001"},
        {"slots", "-1"},
        {"urgent", "1"},
    };
    for (const auto &[key, value] : team) {
        checkSingleError(contractText(CustomerSection, ServiceSection, with(TeamSection, key, value)), key, value);
    }
}

// Guards against a timeout below the latency objective, which ends requests before they can miss the objective.
Test(contract, refusesTimeoutBelowObjective)
{
    checkSingleError(contractText(CustomerSection, with(ServiceSection, "timeout", "49 ms")), "timeout", "49 ms");
    cr_assert(errorsOf(contractText(CustomerSection, with(ServiceSection, "timeout", "50 ms"))).empty());
}

// Guards against a parser that stops at the first error or reports a wrong line.
Test(contract, listsEveryFaultWithItsLine)
{
    const std::string text = "stray = 1\n" // 1
                             "[contract]\n"
                             "customer = a\n"
                             "customer = b\n" // 4
                             "colour = red\n" // 5
                             "no assignment\n" // 6
                             "[service Web]\n" // 7: name, and seven missing keys
                             "timeout = 1 s\n"
                             "[team t]\n" // 9: slots missing
                             "cores = 1\n"
                             "memory = 1 GB\n"
                             "[team t]\n" // 12
                             "slots = 1\n"
                             "[limits]\n" // 14
                             "[broken\n" // 15
                             "= 1\n"; // 16
    const std::string difference = Test::differenceFromGolden("contract-faults", toText(errorsOf(text)));
    cr_assert(difference.empty(), "%s", difference.c_str());
}

// Guards against empty or oversized input that is accepted or ends the process.
Test(contract, refusesEmptyAndOversizedText)
{
    cr_assert(!errorsOf("").empty());
    cr_assert_eq(toText(errorsOf(std::string(70'000, '#'))), "0: the contract is larger than 64 KiB\n");
}

// Guards against example contracts that the parser rejects.
Test(contract, acceptsTheExamples)
{
    for (const char *name : {"cascadia", "mtkvari"}) {
        auto parsed = parseContract(Test::readTestFile("../examples/contracts/" + std::string(name) + ".ini"));
        const auto *errors = std::get_if<Errors>(&parsed);
        cr_assert(errors == nullptr, "%s", errors == nullptr ? "" : toText(*errors).c_str());
        cr_assert_eq(std::get<Contract>(parsed).customer, name);
    }
}

// Guards against a key that is missing from the documentation for operators.
Test(contract, documentsEveryKey)
{
    const std::string document = Test::readTestFile("../docs/configuration.md");
    for (const Section &section : {CustomerSection, ServiceSection, TeamSection}) {
        for (const auto &entry : section) {
            cr_assert(document.find("| `" + entry.first + "` |") != std::string::npos, "docs/configuration.md lacks %s", entry.first.c_str());
        }
    }
}

static void checkInvariants(const Contract &contract)
{
    for (const ServiceContract &service : contract.services) {
        cr_assert(service.timeout >= service.latencyObjective && service.latencyObjective.count() > 0);
        cr_assert(service.retryShare >= 0 && service.retryShare <= 0.5);
        cr_assert(service.maximumAttempts >= 1 && service.concurrency >= 1 && service.ratePerSecond > 0);
        cr_assert(service.task.milliCores > 0 && service.task.memoryBytes > 0);
    }
    for (const TeamContract &team : contract.teams) {
        cr_assert(team.share > 0 && team.quota.milliCores >= 0 && team.quota.memoryBytes >= 0 && team.quota.slots >= 0);
    }
}

static std::string mutate(std::string text, std::mt19937_64 &random)
{
    static const std::vector<std::string> fragments{
        "\n", "=", "[", "]", "#", " %", "[team t]\n", "[contract]\n", "-1", "1e308", "nan", ".", std::string("\0x", 2), "\xff", "99999999999999999999"};
    const auto below = [&](std::size_t bound) { return static_cast<std::size_t>(random() % bound); };
    const std::size_t changes = 1 + below(6);
    for (std::size_t change = 0; change < changes && !text.empty(); ++change) {
        const std::size_t position = below(text.size());
        switch (below(4)) {
        case 0:
            text[position] = static_cast<char>(below(256));
            break;
        case 1:
            text.erase(position, 1 + below(40));
            break;
        case 2:
            text.insert(position, fragments[below(fragments.size())]);
            break;
        default:
            text.insert(position, text.substr(below(text.size()), below(80)));
            break;
        }
    }
    return text;
}

// Guards against input that ends the process, and against an accepted contract that violates the invariants of its values.
Test(contract, survivesFuzzedText)
{
    constexpr std::uint64_t Seed = 20261204;
    constexpr int Rounds = 20'000;
    std::mt19937_64 random(Seed);
    const std::vector<std::string> seeds{
        contractText(), Test::readTestFile("../examples/contracts/cascadia.ini"), Test::readTestFile("../examples/contracts/mtkvari.ini")};
    int accepted = 0;
    int rejected = 0;
    for (int round = 0; round < Rounds; ++round) {
        auto parsed = parseContract(mutate(seeds[static_cast<std::size_t>(round) % seeds.size()], random));
        if (const auto *contract = std::get_if<Contract>(&parsed)) {
            checkInvariants(*contract);
            ++accepted;
            continue;
        }
        const auto &errors = std::get<Errors>(parsed);
        cr_assert(!errors.empty());
        cr_assert(std::ranges::all_of(errors, [](const ContractError &error) { return !error.message.empty() && error.line >= 0; }));
        ++rejected;
    }
    // The test covers something only if contracts are both accepted and rejected.
    cr_assert(accepted > 100 && rejected > 100, "seed %llu: %d accepted, %d rejected", static_cast<unsigned long long>(Seed), accepted, rejected);
}
