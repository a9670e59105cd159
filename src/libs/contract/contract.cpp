#include "contract.h"

#include <utils/inidocument.h>
#include <utils/quantity.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <sstream>

namespace Hyssop {

namespace Internal {

using namespace std::chrono_literals;

using Errors = std::vector<ContractError>;

// A contract is written in one configuration record, which shares a batch of at most 256 KiB with other records.
constexpr std::size_t MaximumContractSize = 64 * 1024;
constexpr std::size_t MaximumNameLength = 40;
constexpr std::size_t MaximumCommandLength = 1024;
constexpr std::int64_t Megabyte = 1000 * 1000;
constexpr std::int64_t Gigabyte = 1000 * Megabyte;
// Default specified in section 7.6 of the design page.
constexpr std::chrono::microseconds DefaultIdempotencyWindow = 10min;
// Half of the log's default retention: a repeated request can't be answered once the log has deleted the recorded outcome.
constexpr std::chrono::microseconds MaximumIdempotencyWindow = 12h;
// A higher share of retries prolongs an overload.
constexpr double MaximumRetryShare = 0.5;

/// Describes one key of a section; its value is stored in a @p Target.
template<typename Target>
struct KeySpec
{
    std::string_view key;
    bool required;
    std::string_view allowed; // allowed values, for error messages
    bool (*assign)(Target &target, const std::string &value); // false if the value is not allowed
};

template<typename Value, typename Member, typename Parser>
static bool assignRange(const std::string &text, Parser parser, Value minimum, Value maximum, Member &member)
{
    auto parsed = capture([&] { return parser(text); });
    const auto *value = valueOf(parsed);
    if (value == nullptr || *value < minimum || *value > maximum) {
        return false;
    }
    member = static_cast<Member>(*value);
    return true;
}

static bool assignDuration(const std::string &text, std::chrono::microseconds minimum, std::chrono::microseconds maximum, std::chrono::microseconds &member)
{
    return assignRange(text, parseDuration, minimum, maximum, member);
}

template<typename Member>
static bool assignInteger(const std::string &text, std::int64_t minimum, std::int64_t maximum, Member &member)
{
    return assignRange(text, parseInteger, minimum, maximum, member);
}

static bool assignYesNo(const std::string &text, bool &member)
{
    member = text == "yes";
    return text == "yes" || text == "no";
}

static bool assignWeight(const std::string &text, double &member)
{
    constexpr double Minimum = 0.01;
    constexpr double Maximum = 1000;
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || !(value >= Minimum && value <= Maximum)) {
        return false;
    }
    member = value;
    return true;
}

static bool isValidName(std::string_view text)
{
    const auto allowed = [](char character) { return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-'; };
    return !text.empty() && text.size() <= MaximumNameLength && std::ranges::all_of(text, allowed);
}

static bool assignName(const std::string &text, std::string &member)
{
    member = text;
    return isValidName(text);
}

static bool assignCommand(const std::string &text, std::string &member)
{
    const auto printable = [](char character) { return character >= ' ' && character <= '~'; };
    member = text;
    return !text.empty() && text.size() <= MaximumCommandLength && std::ranges::all_of(text, printable);
}

static bool assignFavor(const std::string &text, Favor &member)
{
    member = text == "throughput" ? Favor::Throughput : Favor::Latency;
    return text == "latency" || text == "throughput";
}

using CustomerKey = KeySpec<Contract>;
using ServiceKey = KeySpec<ServiceContract>;
using TeamKey = KeySpec<TeamContract>;

static const std::vector<CustomerKey> &customerKeys()
{
    static const std::vector<CustomerKey> keys{
        {"customer", true, "1 to 40 of the characters a-z, 0-9 and -", [](Contract &c, const std::string &v) { return assignName(v, c.customer); }},
        {"favor", true, "latency or throughput", [](Contract &c, const std::string &v) { return assignFavor(v, c.favor); }},
        {"batch_share",
         false,
         "a share from 0 % to 100 %",
         [](Contract &c, const std::string &v) { return assignRange(v, parsePercentage, 0.0, 1.0, c.batchShare); }},
        {"eviction_budget",
         false,
         "a share from 0 % to 100 %",
         [](Contract &c, const std::string &v) { return assignRange(v, parsePercentage, 0.0, 1.0, c.evictionBudget); }},
    };
    return keys;
}

static const std::vector<ServiceKey> &serviceKeys()
{
    using S = ServiceContract;
    static const std::vector<ServiceKey> keys{
        {"latency_objective",
         true,
         "a duration with unit (us, ms, s, min, h) from 100 us to 1 min",
         [](S &s, const std::string &v) { return assignDuration(v, 100us, 1min, s.latencyObjective); }},
        {"timeout",
         true,
         "a duration with unit (us, ms, s, min, h) from 1 ms to 10 min",
         [](S &s, const std::string &v) { return assignDuration(v, 1ms, 10min, s.timeout); }},
        {"concurrency", true, "an integer from 1 to 100000", [](S &s, const std::string &v) { return assignInteger(v, 1, 100'000, s.concurrency); }},
        {"rate", true, "a rate from 0.1 /s to 1000000 /s", [](S &s, const std::string &v) { return assignRange(v, parseRate, 0.1, 1e6, s.ratePerSecond); }},
        {"replicas", true, "an integer from 0 to 10000", [](S &s, const std::string &v) { return assignInteger(v, 0, 10'000, s.replicas); }},
        {"cores",
         true,
         "a number of cores from 0.01 to 1024",
         [](S &s, const std::string &v) { return assignRange<std::int64_t>(v, parseMilliCores, 10, 1'024'000, s.task.milliCores); }},
        {"memory",
         true,
         "an amount with unit (B, KB, MB, GB, KiB, MiB, GiB) from 1 MB to 16000 GB",
         [](S &s, const std::string &v) { return assignRange(v, parseBytes, Megabyte, 16'000 * Gigabyte, s.task.memoryBytes); }},
        {"accelerators", false, "an integer from 0 to 64", [](S &s, const std::string &v) { return assignInteger(v, 0, 64, s.task.accelerators); }},
        {"command", true, "1 to 1024 printable ASCII characters", [](S &s, const std::string &v) { return assignCommand(v, s.command); }},
        {"retry_share",
         false,
         "a share from 0 % to 50 %",
         [](S &s, const std::string &v) { return assignRange(v, parsePercentage, 0.0, MaximumRetryShare, s.retryShare); }},
        {"maximum_attempts", false, "an integer from 1 to 10", [](S &s, const std::string &v) { return assignInteger(v, 1, 10, s.maximumAttempts); }},
        {"idempotency_window",
         false,
         "a duration with unit (us, ms, s, min, h) from 1 s to 12 h",
         [](S &s, const std::string &v) { return assignDuration(v, 1s, MaximumIdempotencyWindow, s.idempotencyWindow); }},
        {"single_copy", false, "yes or no", [](S &s, const std::string &v) { return assignYesNo(v, s.singleCopy); }},
        {"priority", false, "an integer from 0 to 9", [](S &s, const std::string &v) { return assignInteger(v, 0, 9, s.priority); }},
    };
    return keys;
}

static const std::vector<TeamKey> &teamKeys()
{
    using T = TeamContract;
    static const std::vector<TeamKey> keys{
        {"share", false, "a number without unit from 0.01 to 1000", [](T &t, const std::string &v) { return assignWeight(v, t.share); }},
        {"cores",
         true,
         "a number of cores from 0 to 1000000",
         [](T &t, const std::string &v) { return assignRange<std::int64_t>(v, parseMilliCores, 0, 1'000'000'000, t.quota.milliCores); }},
        {"memory",
         true,
         "an amount with unit (B, KB, MB, GB, KiB, MiB, GiB) from 0 B to 9000000 GB",
         [](T &t, const std::string &v) { return assignRange<std::int64_t>(v, parseBytes, 0, 9'000'000 * Gigabyte, t.quota.memoryBytes); }},
        {"accelerators", false, "an integer from 0 to 100000", [](T &t, const std::string &v) { return assignInteger(v, 0, 100'000, t.quota.accelerators); }},
        {"slots", true, "an integer from 0 to 1000000", [](T &t, const std::string &v) { return assignInteger(v, 0, 1'000'000, t.quota.slots); }},
        {"urgent", false, "yes or no", [](T &t, const std::string &v) { return assignYesNo(v, t.urgent); }},
    };
    return keys;
}

/// Replaces each line that is not a section, an assignment or a comment with an empty line and reports it.
/// The other lines can then be parsed and keep their line numbers.
static std::string blankMalformedLines(std::string_view text, Errors &errors)
{
    std::string result;
    std::istringstream stream{std::string(text)};
    std::string line;
    for (int number = 1; std::getline(stream, line); ++number) {
        const std::string_view content = trimmed(std::string_view(line).substr(0, line.find('#')));
        const bool section = content.size() > 2 && content.front() == '[' && content.back() == ']';
        const bool assignment = !content.empty() && content.front() != '[' && content.find('=') != std::string_view::npos && content.front() != '=';
        if (content.empty() || section || assignment) {
            result += content;
        } else {
            errors.push_back({number, "the line is neither [SECTION] nor KEY = VALUE"});
        }
        result += '\n';
    }
    return result;
}

class ContractReader
{
public:
    std::variant<Contract, Errors> read(std::string_view text)
    {
        if (text.size() > MaximumContractSize) {
            return Errors{{0, "the contract is larger than 64 KiB"}};
        }
        const std::string wellFormed = blankMalformedLines(text, m_errors);
        auto parsed = capture([&] { return IniDocument::parse(wellFormed); });
        if (const Error *error = errorOf(parsed)) {
            m_errors.push_back({0, error->message});
            return m_errors;
        }
        m_document = std::move(*valueOf(parsed));
        readSections();
        reportEntriesOutsideSections();
        if (!m_errors.empty()) {
            std::ranges::stable_sort(m_errors, {}, &ContractError::line);
            return m_errors;
        }
        return m_contract;
    }

private:
    void readSections()
    {
        for (const IniSection &section : m_document.sections) {
            if (!m_sections.insert(section.name).second) {
                addError(section.line, "section [" + section.name + "] is repeated");
                continue;
            }
            readSection(section);
        }
        if (!m_sections.contains("contract")) {
            addError(0, "section [contract] is missing");
        }
    }

    void readSection(const IniSection &section)
    {
        constexpr std::string_view ServicePrefix = "service ";
        constexpr std::string_view TeamPrefix = "team ";
        if (section.name == "contract") {
            readKeys(section, customerKeys(), m_contract);
        } else if (section.name.starts_with(ServicePrefix)) {
            readService(section, section.name.substr(ServicePrefix.size()));
        } else if (section.name.starts_with(TeamPrefix)) {
            readTeam(section, section.name.substr(TeamPrefix.size()));
        } else {
            addError(section.line, "unknown section [" + section.name + "]; allowed: [contract], [service NAME], [team NAME]");
        }
    }

    void readService(const IniSection &section, const std::string &name)
    {
        ServiceContract service;
        service.name = name;
        service.line = section.line;
        service.task.slots = 1;
        service.idempotencyWindow = DefaultIdempotencyWindow;
        checkName(section, name);
        readKeys(section, serviceKeys(), service);
        if (service.timeout.count() > 0 && service.timeout < service.latencyObjective) {
            addError(lineOf(section, "timeout"),
                     "timeout: " + formatDuration(service.timeout) + " is shorter than latency_objective (" + formatDuration(service.latencyObjective) + ")");
        }
        m_contract.services.push_back(std::move(service));
    }

    void readTeam(const IniSection &section, const std::string &name)
    {
        TeamContract team;
        team.name = name;
        team.line = section.line;
        checkName(section, name);
        readKeys(section, teamKeys(), team);
        m_contract.teams.push_back(std::move(team));
    }

    void checkName(const IniSection &section, const std::string &name)
    {
        if (!isValidName(name)) {
            addError(section.line, "[" + section.name + "]: the name is not 1 to 40 of the characters a-z, 0-9 and -");
        }
    }

    template<typename Target>
    void readKeys(const IniSection &section, const std::vector<KeySpec<Target>> &specs, Target &target)
    {
        for (const IniEntry &entry : m_document.entries) {
            if (entry.section == section.name) {
                readKey(entry, specs, target);
            }
        }
        for (const KeySpec<Target> &spec : specs) {
            if (spec.required && !m_contract.keyLines.contains(fullKey(section.name, spec.key))) {
                addError(section.line, "[" + section.name + "]: " + std::string(spec.key) + " is missing; allowed: " + std::string(spec.allowed));
            }
        }
    }

    template<typename Target>
    void readKey(const IniEntry &entry, const std::vector<KeySpec<Target>> &specs, Target &target)
    {
        const auto spec = std::ranges::find(specs, std::string_view(entry.key), &KeySpec<Target>::key);
        if (spec == specs.end()) {
            addError(entry.line, entry.key + ": unknown key in [" + entry.section + "]");
            return;
        }
        if (!m_contract.keyLines.emplace(fullKey(entry.section, entry.key), entry.line).second) {
            addError(entry.line, entry.key + ": the key is set twice in [" + entry.section + "]");
            return;
        }
        if (!spec->assign(target, entry.value)) {
            addError(entry.line, entry.key + ": \"" + entry.value + "\" is not allowed; allowed: " + std::string(spec->allowed));
        }
    }

    /// Reports keys that belong to no section of the file: those before the first section and those with a dot in their name.
    void reportEntriesOutsideSections()
    {
        for (const IniEntry &entry : m_document.entries) {
            if (!m_sections.contains(entry.section)) {
                addError(entry.line, fullKey(entry.section, entry.key) + ": the key is in no section");
            }
        }
    }

    static std::string fullKey(const std::string &section, std::string_view key) { return (section.empty() ? "" : section + ".") + std::string(key); }

    int lineOf(const IniSection &section, std::string_view key) const
    {
        const auto line = m_contract.keyLines.find(fullKey(section.name, key));
        return line == m_contract.keyLines.end() ? section.line : line->second;
    }

    void addError(int line, std::string message) { m_errors.push_back({line, std::move(message)}); }

    IniDocument m_document;
    std::set<std::string> m_sections;
    Contract m_contract;
    Errors m_errors;
};

} // namespace Internal

const ServiceContract *Contract::service(std::string_view name) const
{
    const auto found = std::ranges::find(services, name, &ServiceContract::name);
    return found == services.end() ? nullptr : &*found;
}

const TeamContract *Contract::team(std::string_view name) const
{
    const auto found = std::ranges::find(teams, name, &TeamContract::name);
    return found == teams.end() ? nullptr : &*found;
}

std::variant<Contract, std::vector<ContractError>> parseContract(std::string_view text)
{
    return Internal::ContractReader().read(text);
}

} // namespace Hyssop
