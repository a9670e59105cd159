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
    Latency, // prefer low tail latency of services
    Throughput, // prefer batch throughput and few evictions
};

/// A latency-critical service of a customer.
struct ServiceContract
{
    std::string name;
    std::chrono::microseconds latencyObjective{0}; // 99th percentile
    std::chrono::microseconds timeout{0}; // maximum duration of one request, from the first byte to the last
    int concurrency = 0; // maximum number of requests in flight in one failure domain
    double ratePerSecond = 0; // maximum request rate in one failure domain
    int replicas = 0; // tasks in each failure domain
    Resources task; // resources that one replica declares
    std::string command; // passed to the worker unchanged
    double retryShare = 0; // maximum number of retries as a fraction of the successful requests
    int maximumAttempts = 1; // per request, including the first attempt
    std::chrono::microseconds idempotencyWindow{0};
    bool singleCopy = false; // a replica must never run on two workers at the same time
    int priority = 0; // 0 (lowest) to 9
    int line = 0; // line number of the section
};

/// A team of a customer that runs batch work.
struct TeamContract
{
    std::string name;
    double share = 1; // weight in fair sharing
    Resources quota; // maximum resources in use at the same time in one failure domain
    bool urgent = false; // may submit urgent jobs
    int line = 0;
};

/// The contract of one customer, as configured by operators.
struct Contract
{
    std::string customer;
    Favor favor = Favor::Latency;
    double batchShare = 1; // fraction of each worker's resources that batch tasks may use, 0 to 1
    double evictionBudget = 0; // maximum number of evictions as a fraction of the batch tasks started
    std::vector<ServiceContract> services;
    std::vector<TeamContract> teams;
    std::map<std::string, int> keyLines; // line number of each key that is set, by "SECTION.KEY"

    const ServiceContract *service(std::string_view name) const;
    const TeamContract *team(std::string_view name) const;
};

/// An error in a contract. The line is 1-based; it is 0 for an error without a line, such as a missing section.
struct ContractError
{
    int line = 0;
    std::string message;
};

/// Parses a contract (INI). Returns all errors if there is any: a contract is accepted only as a whole.
std::variant<Contract, std::vector<ContractError>> parseContract(std::string_view text);

} // namespace Hyssop
