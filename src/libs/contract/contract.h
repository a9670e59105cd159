#pragma once

#include <utils/resources.h>
#include <utils/result.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Hyssop {

enum class Favor {
    Latency, // tail latency of services first
    Throughput, // batch throughput and few evictions first
};

/// A latency-critical service of a customer.
struct ServiceContract
{
    std::string name;
    std::chrono::microseconds latencyObjective{0}; // 99th percentile
    std::chrono::microseconds timeout{0}; // longest time for one request, first byte to last
    int concurrency = 0; // requests in flight in one failure domain
    double ratePerSecond = 0; // requests a second in one failure domain
    int replicas = 0; // tasks in each failure domain
    Resources task; // declared size of one replica
    std::string command; // passed to the worker as it is
    double retryShare = 0; // retries as a share of successful requests
    int maximumAttempts = 1; // attempts for one request, the first included
    std::chrono::microseconds idempotencyWindow{0};
    bool singleCopy = false; // a replica must never run in two places
    int priority = 0; // 0 (lowest) to 9
    int line = 0; // line of the section
};

/// A team of a customer that runs batch work.
struct TeamContract
{
    std::string name;
    double share = 1; // weight in fair sharing
    Resources quota; // most resources in use at once in one failure domain
    bool urgent = false; // may submit urgent jobs
    int line = 0;
};

/// Everything that operators state about one customer.
struct Contract
{
    std::string customer;
    Favor favor = Favor::Latency;
    double batchShare = 1; // share of the workers' resources that batch may use, 0 to 1
    double evictionBudget = 0; // evictions as a share of batch tasks started
    std::vector<ServiceContract> services;
    std::vector<TeamContract> teams;
    std::map<std::string, int> keyLines; // line of each key that is set, by "SECTION.KEY"

    const ServiceContract *service(std::string_view name) const;
    const TeamContract *team(std::string_view name) const;
};

/// A fault in a contract, with the 1-based line; 0 for something that is missing.
struct ContractError
{
    int line = 0;
    std::string message;
};

/// Reads a contract (INI). Lists every fault; a contract with a fault is refused as a whole.
std::variant<Contract, std::vector<ContractError>> parseContract(std::string_view text);

} // namespace Hyssop
