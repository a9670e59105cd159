#include "configservicestate.h"

#include <observability/metricsregistry.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Hyssop::Internal {

namespace asio = boost::asio;

static AppenderOptions appenderOptions(const ConfigServiceOptions &options)
{
    AppenderOptions result;
    result.maximumAppendsPerSecond = options.maximumAppendsPerSecond;
    return result;
}

ConfigServiceState::ConfigServiceState(
    asio::any_io_executor ioExecutor, LogClient &log, RpcClient &rpc, MetricsRegistry &registry, ConfigServiceOptions serviceOptions)
    : executor(std::move(ioExecutor))
    , peers(rpc)
    , metrics(registry)
    , options(std::move(serviceOptions))
    , ledger([this](const std::string &key, const std::string &body) { return validateBody(key, body); })
    , tailer(log, "config", registry)
    , appender(executor, log, "config", options.instance, appenderOptions(options), registry)
    , random(std::random_device{}())
{
}

static std::string listErrors(const std::vector<ContractError> &errors)
{
    std::string text;
    for (const ContractError &error : errors) {
        text += (text.empty() ? "" : "; ") + (error.line > 0 ? "line " + std::to_string(error.line) + ": " : std::string()) + error.message;
    }
    return text;
}

std::optional<std::string> ConfigServiceState::validateBody(const std::string &key, const std::string &body) const
{
    if (key.starts_with(DomainPrefix)) {
        return body == "in" || body == "out" ? std::nullopt : std::optional<std::string>("the body must be \"in\" or \"out\"");
    }
    if (!key.starts_with(ContractPrefix)) {
        return "unknown kind of key";
    }
    const auto parsed = parse(body);
    if (const auto *errors = std::get_if<std::vector<ContractError>>(&parsed)) {
        return listErrors(*errors);
    }
    const std::string &customer = std::get<Contract>(parsed).customer;
    if (customer != key.substr(ContractPrefix.size())) {
        return "the contract is for customer \"" + customer + "\"";
    }
    return std::nullopt;
}

void wakeReadWaiters(ConfigServiceState &state)
{
    for (asio::steady_timer *timer : state.readWaiters) {
        timer->cancel();
    }
}

asio::awaitable<void> waitForRead(ConfigServiceStatePtr state, TimePoint deadline)
{
    asio::steady_timer timer(state->executor, deadline);
    const auto position = state->readWaiters.insert(state->readWaiters.end(), &timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    state->readWaiters.erase(position);
}

asio::awaitable<void> sleepFor(ConfigServiceStatePtr state, std::chrono::milliseconds delay)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + delay;
    while (!state->stopped && std::chrono::steady_clock::now() < deadline) {
        co_await waitForRead(state, deadline);
    }
}

static void refreshContracts(ConfigServiceState &state)
{
    std::map<std::string, ContractInForce> contracts;
    for (const std::string &key : state.ledger.keysInUse(ContractPrefix)) {
        const std::string customer = key.substr(ContractPrefix.size());
        const ConfigBodyInUse inUse = *state.ledger.bodyInUse(key);
        const auto known = state.contracts.find(customer);
        if (known != state.contracts.end() && known->second.revision == inUse.revision) {
            contracts.insert(*known);
            continue;
        }
        auto parsed = state.parse(inUse.body);
        if (auto *contract = std::get_if<Contract>(&parsed)) {
            contracts.emplace(customer, ContractInForce{std::move(*contract), inUse.revision});
        }
    }
    state.contracts = std::move(contracts);
}

static void publishCounters(ConfigServiceState &state)
{
    const ConfigLedgerCounters &current = state.ledger.counters();
    ConfigLedgerCounters &reported = state.reportedCounters;
    const auto publish = [&](const char *name, std::uint64_t ConfigLedgerCounters::*counter) {
        state.metrics.add(name, {}, static_cast<double>(current.*counter - reported.*counter));
    };
    publish("hyssop_config_changes_accepted_total", &ConfigLedgerCounters::accepted);
    publish("hyssop_config_changes_conflicting_total", &ConfigLedgerCounters::conflicts);
    publish("hyssop_config_unusable_bodies_total", &ConfigLedgerCounters::unusableBodies);
    publish("hyssop_config_invalid_records_total", &ConfigLedgerCounters::invalidRecords);
    publish("hyssop_config_contradictions_total", &ConfigLedgerCounters::contradictions);
    publish("hyssop_config_gaps_total", &ConfigLedgerCounters::gaps);
    reported = current;
    state.metrics.set("hyssop_config_applied_offset", static_cast<double>(state.ledger.appliedUpTo()));
    state.metrics.set("config_ready", state.isReady() ? 1 : 0);
}

void ledgerChanged(ConfigServiceState &state)
{
    publishCounters(state);
    if (state.pendingVerification && state.pendingVerification->first <= state.ledger.knownUpTo()) {
        state.peerVerifiedAt = std::max(state.peerVerifiedAt.value_or(TimePoint::min()), state.pendingVerification->second);
        state.pendingVerification.reset();
    }
    if (state.reportedGeneration != state.ledger.generation()) {
        state.reportedGeneration = state.ledger.generation();
        refreshContracts(state);
        if (state.changeHandler) {
            state.changeHandler();
        }
    }
    wakeReadWaiters(state);
}

/// Estimates the offset of the log's clock from records that arrive soon after they were written. The wall clock of this
/// machine may be wrong.
static void recordLogTime(ConfigServiceState &state, WallTime time)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const bool isRecent = state.tailer.caughtUp() && state.lastReadAt && now - *state.lastReadAt < LogTimeout;
    if (!isRecent) {
        return;
    }
    // A transmission delay makes the measured offset smaller, so the largest one is the best estimate.
    const Duration offset = time.time_since_epoch() - now.time_since_epoch();
    state.logClockOffset = std::max(state.logClockOffset.value_or(offset), offset);
}

WallTime logTime(const ConfigServiceState &state)
{
    if (!state.logClockOffset) {
        return std::chrono::system_clock::now();
    }
    return WallTime(std::chrono::steady_clock::now().time_since_epoch() + *state.logClockOffset);
}

void applyBatch(ConfigServiceState &state, std::int64_t offset, WallTime time, const Wire::RecordBatch &batch)
{
    state.ledger.setOldestOffset(state.tailer.oldest());
    recordLogTime(state, time);
    for (const Wire::Record &record : batch.records) {
        state.ledger.apply(offset, time, record);
    }
}

void logRead(ConfigServiceState &state, std::int64_t oldest, std::int64_t head)
{
    state.lastReadAt = std::chrono::steady_clock::now();
    state.ledger.setOldestOffset(oldest);
    // If all records have expired, there is nothing to read below the head.
    const std::int64_t readUpTo = oldest > head ? std::max(head, state.tailer.appliedUpTo()) : state.tailer.appliedUpTo();
    if (readUpTo >= std::max<std::int64_t>(state.ledger.appliedUpTo(), 0)) {
        state.ledger.advanceTo(readUpTo);
    }
    if (readUpTo >= head) {
        state.ledger.settleAtHead();
    }
    ledgerChanged(state);
}

} // namespace Hyssop::Internal
