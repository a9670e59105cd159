#include "gatewaystate.h"

#include <algorithm>
#include <cstdio>

namespace Hyssop::Internal {

// Used if there is no contract: the keys of a contract that was just removed must not expire early.
constexpr std::chrono::minutes DefaultIdempotencyWindow{10};

static int concurrencyPerGateway(const ServiceContract &contract, const GatewayOptions &options)
{
    return std::max(1, contract.concurrency / std::max(1, options.domainGateways));
}

static double ratePerGateway(const ServiceContract &contract, const GatewayOptions &options)
{
    return contract.ratePerSecond / std::max(1, options.domainGateways);
}

ServiceState::ServiceState(std::string customerName, const ServiceContract &serviceContract, const GatewayOptions &options, TimePoint now)
    : customer(std::move(customerName))
    , contract(serviceContract)
    , concurrency(concurrencyPerGateway(serviceContract, options), serviceContract.latencyObjective)
    , rate(ratePerGateway(serviceContract, options), now)
    , retries(serviceContract.retryShare)
    , ramp(options.rampDuration)
{
}

void ServiceState::update(const ServiceContract &serviceContract, const GatewayOptions &options)
{
    contract = serviceContract;
    concurrency.setBounds(concurrencyPerGateway(contract, options), contract.latencyObjective);
    rate.setRate(ratePerGateway(contract, options));
    retries.setShare(contract.retryShare);
}

GatewayState::GatewayState(boost::asio::any_io_executor stateExecutor, GatewayOptions gatewayOptions, MetricsRegistry &registry)
    : executor(std::move(stateExecutor))
    , options(std::move(gatewayOptions))
    , metrics(registry)
    , targets(std::random_device()())
    , pool(options.upstreamIdleTimeout)
    , random(std::random_device()())
{
    // Makes request ids unique across incarnations of the same instance.
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    requestIdPrefix = options.instance + "-" + text + "-";
}

std::chrono::microseconds GatewayState::idempotencyWindow(const std::string &customer, const std::string &name) const
{
    const ServiceStatePtr state = service(customer, name);
    if (!state || state->contract.idempotencyWindow.count() <= 0) {
        return DefaultIdempotencyWindow;
    }
    // A key must not expire while its request may still be running.
    return std::max(state->contract.idempotencyWindow, 2 * state->contract.timeout);
}

ServiceStatePtr GatewayState::service(const std::string &customer, const std::string &name) const
{
    const auto found = services.find({customer, name});
    return found == services.end() ? nullptr : found->second;
}

std::string GatewayState::nextRequestId()
{
    return requestIdPrefix + std::to_string(++requestCount);
}

void GatewayState::updateAdmissionRamps(TimePoint now)
{
    for (auto &[key, state] : services) {
        const bool hasTarget = targets.hasTarget(key.first, key.second);
        if (hasTarget && state->lostTargets) {
            state->ramp.restart(now);
        }
        state->lostTargets = !hasTarget && (state->lostTargets || state->hadTarget);
        state->hadTarget = hasTarget;
    }
}

} // namespace Hyssop::Internal
