#pragma once

#include "gatewayoptions.h"
#include "requestjournal.h"
#include "upstreampool.h"

#include <contract/contract.h>
#include <observability/metricsregistry.h>
#include <routing/admissionramp.h>
#include <routing/concurrencylimit.h>
#include <routing/ratelimit.h>
#include <routing/retrybudget.h>
#include <routing/targettable.h>

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace Hyssop::Internal {

class ClientSession;

/// Limits and budgets of one service of one customer. No state is shared between customers.
struct ServiceState
{
    ServiceState(std::string customerName, const ServiceContract &serviceContract, const GatewayOptions &options, TimePoint now);

    /// Applies a changed contract. Budgets and the count of requests in flight are kept.
    void update(const ServiceContract &serviceContract, const GatewayOptions &options);

    std::string customer;
    ServiceContract contract;
    ConcurrencyLimit concurrency;
    RateLimit rate;
    RetryBudget retries;
    AdmissionRamp ramp;
    bool hadTarget = false;
    bool lostTargets = false;
};

using ServiceStatePtr = std::shared_ptr<ServiceState>;

/// State shared by all sessions of a gateway.
struct GatewayState
{
    GatewayState(boost::asio::any_io_executor stateExecutor, GatewayOptions gatewayOptions, MetricsRegistry &registry);

    std::chrono::microseconds idempotencyWindow(const std::string &customer, const std::string &service) const;
    ServiceStatePtr service(const std::string &customer, const std::string &name) const;
    std::string nextRequestId();

    /// Restarts the admission ramp of services that have targets again after an outage.
    void updateAdmissionRamps(TimePoint now);

    boost::asio::any_io_executor executor;
    GatewayOptions options;
    MetricsRegistry &metrics;
    TargetTable targets;
    UpstreamPool pool;
    std::unique_ptr<RequestJournal> journal; // null: requests with an idempotency key are rejected
    std::map<std::pair<std::string, std::string>, ServiceStatePtr> services;
    std::set<ClientSession *> sessions;
    std::mt19937_64 random;
    std::string requestIdPrefix;
    std::uint64_t requestCount = 0;
    int requestsInFlight = 0;
    bool contractsLoaded = false;
    bool draining = false;
    bool stopped = false;
};

using GatewayStatePtr = std::shared_ptr<GatewayState>;

} // namespace Hyssop::Internal
