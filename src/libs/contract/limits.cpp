// With quotes, clang-tidy confuses this header with <limits.h> of the C library.
#include <contract/limits.h>

#include "contract.h"

#include <utils/quantity.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace Hyssop {

namespace Internal {

static std::string formatNumber(double number)
{
    constexpr int TextSize = 32;
    char text[TextSize];
    const int length = std::snprintf(text, sizeof text, "%.10g", number);
    return {text, static_cast<std::size_t>(length)};
}

static std::string formatPercentage(double share)
{
    constexpr double Percent = 100;
    return formatNumber(share * Percent);
}

static std::string formatCores(std::int64_t milliCores)
{
    constexpr double MilliCoresPerCore = 1000;
    return formatNumber(static_cast<double>(milliCores) / MilliCoresPerCore);
}

static std::string formatGigabytes(std::int64_t bytes)
{
    constexpr double BytesPerGigabyte = 1e9;
    return formatNumber(static_cast<double>(bytes) / BytesPerGigabyte);
}

/// Adds the limits that follow from one section of a contract to a list of limits.
class SectionLimits
{
public:
    SectionLimits(Limits &limits, const Contract &contract, std::string section, std::string subject, int sectionLine)
        : m_limits(limits)
        , m_contract(contract)
        , m_section(std::move(section))
        , m_subject(std::move(subject))
        , m_sectionLine(sectionLine)
    {
    }

    void add(const char *name, std::string value, const char *unit, const std::string &key, std::string rule)
    {
        const auto line = m_contract.keyLines.find(m_section + "." + key);
        const bool isDefault = line == m_contract.keyLines.end();
        m_limits.entries.push_back(
            {m_subject, name, std::move(value), unit, isDefault ? m_sectionLine : line->second, m_limits.revision, isDefault, std::move(rule)});
    }

    void addDuration(const char *name, std::chrono::microseconds value, const std::string &key, std::string rule)
    {
        const std::string text = formatDuration(value);
        const std::size_t space = text.find(' ');
        add(name, text.substr(0, space), text.substr(space + 1).c_str(), key, std::move(rule));
    }

private:
    Limits &m_limits;
    const Contract &m_contract;
    std::string m_section;
    std::string m_subject;
    int m_sectionLine;
};

static void addCustomerLimits(Limits &limits, const Contract &contract)
{
    const auto customerLine = contract.keyLines.find("contract.customer");
    SectionLimits section(limits, contract, "contract", "customer", customerLine == contract.keyLines.end() ? 0 : customerLine->second);
    section.add("favor",
                contract.favor == Favor::Latency ? "latency" : "throughput",
                "",
                "favor",
                "Decides conflicts between the tail latency of services and batch throughput.");
    section.add("batch resources", formatPercentage(contract.batchShare), "%", "batch_share", "Batch tasks use at most this share of a worker's resources.");
    section.add("evictions", formatPercentage(contract.evictionBudget), "%", "eviction_budget", "Evictions stay below this share of the batch tasks started.");
}

static void addRequestLimits(SectionLimits &section, const ServiceContract &service)
{
    section.addDuration("latency objective",
                        service.latencyObjective,
                        "latency_objective",
                        "Batch on the same workers is throttled, then evicted, when the 99th percentile nears this time.");
    section.addDuration("request timeout", service.timeout, "timeout", "A request that takes longer, first byte to last, is ended.");
    section.add("requests in flight",
                std::to_string(service.concurrency),
                "",
                "concurrency",
                "Requests above this number in one failure domain are rejected as not run; the adaptive limit never exceeds it.");
    section.add("request rate", formatNumber(service.ratePerSecond), "/s", "rate", "Requests above this rate in one failure domain are rejected as not run.");
    section.add("retry budget", formatPercentage(service.retryShare), "%", "retry_share", "Retries stay below this share of the successful requests.");
    section.add("retry rate",
                formatNumber(service.ratePerSecond * service.retryShare),
                "/s",
                "retry_share",
                "Most retries in one failure domain: the request rate times the retry budget.");
    section.add("attempts per request",
                std::to_string(service.maximumAttempts),
                "",
                "maximum_attempts",
                "A request is sent at most this often, the first attempt included, and only if that is safe.");
    section.addDuration("idempotency window",
                        service.idempotencyWindow,
                        "idempotency_window",
                        "A request with a known Idempotency-Key gets the recorded outcome for this long.");
}

static void addReplicaLimits(SectionLimits &section, const ServiceContract &service)
{
    section.add("replicas", std::to_string(service.replicas), "", "replicas", "Each failure domain runs this number of tasks.");
    section.add("cores per replica", formatCores(service.task.milliCores), "cores", "cores", "A replica starts only on a worker with this much uncommitted.");
    section.add(
        "memory per replica", formatGigabytes(service.task.memoryBytes), "GB", "memory", "A replica starts only on a worker with this much uncommitted.");
    section.add("accelerators per replica",
                std::to_string(service.task.accelerators),
                "",
                "accelerators",
                "A replica starts only on a worker with this many uncommitted.");
    section.add("cores in all", formatCores(service.task.milliCores * service.replicas), "cores", "replicas", "Replicas times cores, in each failure domain.");
    section.add(
        "memory in all", formatGigabytes(service.task.memoryBytes * service.replicas), "GB", "replicas", "Replicas times memory, in each failure domain.");
    section.add("single copy",
                service.singleCopy ? "yes" : "no",
                "",
                "single_copy",
                service.singleCopy ? "A replica stops when its worker's lease expires, so that it never runs in two places."
                                   : "A replica keeps running when its worker's lease expires.");
    section.add("priority", std::to_string(service.priority), "", "priority", "Services with a higher number are placed first; 9 is the highest.");
}

static void addTeamLimits(SectionLimits &section, const TeamContract &team, double sumOfShares)
{
    section.add("weight", formatNumber(team.share), "", "share", "Weight of the team in fair sharing.");
    section.add("fair share",
                formatPercentage(std::round(team.share / sumOfShares * 1000) / 1000),
                "%",
                "share",
                "Part of the customer's batch resources that the team gets when every team has work.");
    section.add("cores quota", formatCores(team.quota.milliCores), "cores", "cores", "Most cores in use at once in one failure domain.");
    section.add("memory quota", formatGigabytes(team.quota.memoryBytes), "GB", "memory", "Most memory in use at once in one failure domain.");
    section.add("accelerators quota", std::to_string(team.quota.accelerators), "", "accelerators", "Most accelerators in use at once in one failure domain.");
    section.add("slots quota", std::to_string(team.quota.slots), "", "slots", "Most tasks at once in one failure domain.");
    section.add("urgent jobs",
                team.urgent ? "yes" : "no",
                "",
                "urgent",
                team.urgent ? "The team may submit urgent jobs, which preempt other batch." : "Urgent jobs of the team are refused.");
}

} // namespace Internal

Limits Limits::derive(const Contract &contract, std::int64_t revision)
{
    Limits limits;
    limits.customer = contract.customer;
    limits.revision = revision;
    Internal::addCustomerLimits(limits, contract);
    for (const ServiceContract &service : contract.services) {
        const std::string subject = "service " + service.name;
        Internal::SectionLimits section(limits, contract, subject, subject, service.line);
        Internal::addRequestLimits(section, service);
        Internal::addReplicaLimits(section, service);
    }
    double sumOfShares = 0;
    for (const TeamContract &team : contract.teams) {
        sumOfShares += team.share;
    }
    for (const TeamContract &team : contract.teams) {
        const std::string subject = "team " + team.name;
        Internal::SectionLimits section(limits, contract, subject, subject, team.line);
        Internal::addTeamLimits(section, team, sumOfShares);
    }
    return limits;
}

const Limit *Limits::find(std::string_view subject, std::string_view name) const
{
    const auto found = std::ranges::find_if(entries, [&](const Limit &limit) { return limit.subject == subject && limit.name == name; });
    return found == entries.end() ? nullptr : &*found;
}

} // namespace Hyssop
