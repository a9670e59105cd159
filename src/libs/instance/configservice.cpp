#include "configservice.h"

#include "configrepublisher.h"
#include "configservicestate.h"

#include <observability/logging.h>
#include <observability/metricsregistry.h>
#include <wire/rpcclient.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr std::chrono::milliseconds PeerQueryInterval{250};
constexpr std::chrono::milliseconds PeerQueryTimeout{2000};
constexpr std::size_t MaximumReplySize = 768 * 1024; // in bytes; leaves a margin below the maximum size of a message
constexpr std::int32_t MaximumAuditEntries = 1000;

static void mergeReply(ConfigServiceState &state, const Wire::ConfigStateReply &reply, TimePoint sentAt)
{
    state.ledger.mergePeerState(reply.entries, reply.head);
    state.mergedPeerState = state.mergedPeerState || state.ledger.isComplete();
    logMessage(LogLevel::Info,
               "instance",
               "configuration received from a peer",
               {{"offset", static_cast<long long>(reply.head)}, {"complete", state.ledger.isComplete()}});
    if (reply.ageMs >= 0 && state.ledger.isComplete() && reply.head <= state.ledger.knownUpTo()) {
        state.peerVerifiedAt = std::max(state.peerVerifiedAt.value_or(TimePoint::min()), sentAt - std::chrono::milliseconds(reply.ageMs));
    }
    ledgerChanged(state);
}

static asio::awaitable<bool> queryPeers(ConfigServiceStatePtr state)
{
    for (const std::string &address : state->options.peers) {
        Wire::Message message;
        message.__set_configStateRequest({});
        const TimePoint sentAt = std::chrono::steady_clock::now();
        auto outcome = co_await state->peers.call(address, message, PeerQueryTimeout);
        if (state->stopped || state->isReady()) {
            co_return true;
        }
        const Wire::Message *reply = valueOf(outcome);
        if (reply != nullptr && reply->__isset.configStateReply && reply->configStateReply.ready) {
            mergeReply(*state, reply->configStateReply, sentAt);
            co_return true;
        }
    }
    co_return false;
}

/// True if the state can't be completed from the log alone: the log is unavailable, or its snapshots are not exact bases.
static bool needsPeers(const ConfigServiceState &state, TimePoint now)
{
    const bool logUnavailable = now - state.lastReadAt.value_or(state.startedAt) >= LogTimeout;
    return !state.isReady() && (logUnavailable || state.tailer.caughtUp());
}

static asio::awaitable<void> completeState(ConfigServiceStatePtr state)
{
    std::optional<TimePoint> provisionalSince;
    while (!state->stopped) {
        const TimePoint now = std::chrono::steady_clock::now();
        const bool provisional = !state->isReady() && state->tailer.caughtUp();
        if (!provisional) {
            provisionalSince.reset();
        } else if (!provisionalSince) {
            provisionalSince = now;
        }
        if (needsPeers(*state, now)) {
            co_await queryPeers(state);
        }
        if (!state->isReady() && provisionalSince && std::chrono::steady_clock::now() - *provisionalSince >= state->options.provisionalTimeout) {
            logMessage(LogLevel::Warning, "instance", "no peer has a complete configuration; using the newest revisions in the log");
            state->metrics.add("hyssop_config_provisional_decisions_total");
            state->ledger.settleProvisional();
            ledgerChanged(*state);
        }
        co_await sleepFor(state, PeerQueryInterval);
    }
}

static asio::awaitable<void> followLog(ConfigServiceStatePtr state)
{
    co_await state->tailer.run();
}

static Wire::ConfigApplyReply makeReply(Wire::ChangeVerdict::type verdict, std::string message)
{
    Wire::ConfigApplyReply reply;
    reply.verdict = verdict;
    reply.message = std::move(message);
    return reply;
}

static std::optional<Wire::ConfigApplyReply> replyFromLedger(const ConfigServiceState &state, const Wire::ConfigChange &change)
{
    const auto verdict = state.ledger.verdict(change.key, change.changeId);
    if (!verdict) {
        return std::nullopt;
    }
    Wire::ConfigApplyReply reply = makeReply(verdict->verdict, verdict->message);
    reply.revision = verdict->revision;
    const auto entry = state.ledger.entry(change.key);
    if (verdict->verdict == Wire::ChangeVerdict::Conflict && entry) {
        reply.__set_current(*entry);
    }
    return reply;
}

/// Waits until the change is read back from the log, which determines its verdict. @p offset has no value if the outcome
/// of the append is undetermined.
static asio::awaitable<Wire::ConfigApplyReply> waitForVerdict(ConfigServiceStatePtr state, Wire::ConfigChange change, std::optional<std::int64_t> offset)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + state->options.verdictTimeout;
    while (!state->stopped) {
        if (auto reply = replyFromLedger(*state, change)) {
            co_return *reply;
        }
        if (offset && state->isReady() && state->ledger.appliedUpTo() >= *offset) {
            break;
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            break;
        }
        co_await waitForRead(state, deadline);
    }
    co_return makeReply(Wire::ChangeVerdict::Unknown, "the change was not read back from the log; ask again with the same change id");
}

static asio::awaitable<Wire::ConfigApplyReply> applyChange(ConfigServiceStatePtr state, Wire::ConfigChange change)
{
    if (const auto error = state->ledger.validate(change)) {
        co_return makeReply(Wire::ChangeVerdict::Refused, *error);
    }
    if (!state->isReady()) {
        co_return makeReply(Wire::ChangeVerdict::Unavailable, "this instance has not read the configuration yet");
    }
    if (auto reply = replyFromLedger(*state, change)) {
        co_return *reply;
    }
    Wire::Record record;
    record.__set_configChange(change);
    std::vector<Wire::Record> records{record};
    const AppendOutcome outcome = co_await state->appender.append(std::move(records));
    if (const auto *rejected = std::get_if<AppendRejected>(&outcome)) {
        co_return makeReply(Wire::ChangeVerdict::Unavailable, rejected->reason);
    }
    const auto *appended = std::get_if<Appended>(&outcome);
    const std::optional<std::int64_t> offset = appended == nullptr ? std::nullopt : std::optional(appended->offset);
    co_return co_await waitForVerdict(state, std::move(change), offset);
}

} // namespace Internal

ConfigService::ConfigService(asio::any_io_executor executor, LogClient &log, RpcClient &peers, MetricsRegistry &metrics, ConfigServiceOptions options)
    : m_state(std::make_shared<Internal::ConfigServiceState>(std::move(executor), log, peers, metrics, std::move(options)))
{
    Internal::ConfigServiceState *state = m_state.get();
    state->tailer.setBatchHandler(
        [state](std::int64_t offset, WallTime time, const Wire::RecordBatch &batch) { Internal::applyBatch(*state, offset, time, batch); });
    state->tailer.setReadHandler([state](std::int64_t oldest, std::int64_t head) { Internal::logRead(*state, oldest, head); });
}

ConfigService::~ConfigService()
{
    stop();
}

void ConfigService::start()
{
    m_state->startedAt = std::chrono::steady_clock::now();
    asio::co_spawn(m_state->executor, Internal::followLog(m_state), asio::detached);
    asio::co_spawn(m_state->executor, Internal::completeState(m_state), asio::detached);
    asio::co_spawn(m_state->executor, Internal::republish(m_state), asio::detached);
}

void ConfigService::stop()
{
    m_state->stopped = true;
    m_state->changeHandler = nullptr;
    m_state->tailer.stop();
    Internal::wakeReadWaiters(*m_state);
}

bool ConfigService::ready() const
{
    return m_state->isReady();
}

std::vector<ContractInForce> ConfigService::contracts() const
{
    std::vector<ContractInForce> result;
    for (const auto &[customer, contract] : m_state->contracts) {
        result.push_back(contract);
    }
    return result;
}

std::optional<ContractInForce> ConfigService::contract(const std::string &customer) const
{
    const auto contract = m_state->contracts.find(customer);
    return contract == m_state->contracts.end() ? std::nullopt : std::optional(contract->second);
}

bool ConfigService::isDomainInService(const std::string &domain) const
{
    const auto inUse = m_state->ledger.bodyInUse(std::string(Internal::DomainPrefix) + domain);
    return !inUse || inUse->body != "out";
}

std::uint64_t ConfigService::generation() const
{
    return m_state->ledger.generation();
}

void ConfigService::setChangeHandler(std::function<void()> handler)
{
    m_state->changeHandler = std::move(handler);
}

std::optional<std::chrono::milliseconds> ConfigService::headAge(TimePoint now) const
{
    const auto direct = m_state->tailer.headVerifiedAt();
    const auto &indirect = m_state->peerVerifiedAt;
    if (!m_state->ledger.isComplete() || (!direct && !indirect)) {
        return std::nullopt;
    }
    const TimePoint verifiedAt = std::max(direct.value_or(TimePoint::min()), indirect.value_or(TimePoint::min()));
    // Rounded up, so that the age is never underestimated.
    return std::chrono::ceil<std::chrono::milliseconds>(std::max(now - verifiedAt, Duration::zero()));
}

void ConfigService::peerHeadReceived(std::int64_t head, std::chrono::milliseconds age, TimePoint receivedAt)
{
    if (age < std::chrono::milliseconds::zero()) {
        return;
    }
    const TimePoint verifiedAt = receivedAt - age;
    if (head <= m_state->ledger.knownUpTo()) {
        m_state->peerVerifiedAt = std::max(m_state->peerVerifiedAt.value_or(TimePoint::min()), verifiedAt);
    } else if (!m_state->pendingVerification || m_state->pendingVerification->second < verifiedAt) {
        m_state->pendingVerification.emplace(head, verifiedAt);
    }
}

std::int64_t ConfigService::appliedUpTo() const
{
    return m_state->ledger.isComplete() ? std::max(m_state->ledger.appliedUpTo(), m_state->ledger.knownUpTo()) : m_state->ledger.appliedUpTo();
}

std::int64_t ConfigService::digest() const
{
    return m_state->ledger.digest();
}

asio::awaitable<Wire::ConfigApplyReply> ConfigService::apply(Wire::ConfigChange change)
{
    return Internal::applyChange(m_state, std::move(change));
}

Wire::ConfigStateReply ConfigService::state(const Wire::ConfigStateRequest &request) const
{
    Wire::ConfigStateReply reply;
    reply.ready = m_state->isReady();
    reply.head = appliedUpTo();
    const auto age = headAge(std::chrono::steady_clock::now());
    reply.ageMs = age ? age->count() : -1;
    if (!request.key.empty()) {
        if (const auto entry = m_state->ledger.entry(request.key)) {
            reply.entries.push_back(*entry);
        }
        return reply;
    }
    std::size_t bytes = 0;
    for (const Wire::ConfigEntry &entry : m_state->ledger.entries()) {
        bytes += entry.body.size() + Internal::SnapshotOverhead;
        if (bytes > Internal::MaximumReplySize) {
            // A peer must not take a truncated reply for the whole state.
            reply.ready = false;
            m_state->metrics.add("hyssop_config_state_replies_truncated_total");
            break;
        }
        reply.entries.push_back(entry);
    }
    return reply;
}

Wire::AuditReply ConfigService::audit(const Wire::AuditRequest &request) const
{
    Wire::AuditReply reply;
    const auto maximum = static_cast<std::size_t>(std::clamp(request.maximum, 0, Internal::MaximumAuditEntries));
    std::size_t bytes = 0;
    for (Wire::AuditEntry &entry : m_state->ledger.audit(request.keyPrefix, maximum)) {
        bytes += entry.body.size() + entry.reason.size() + Internal::SnapshotOverhead;
        if (bytes > Internal::MaximumReplySize) {
            break;
        }
        reply.entries.push_back(std::move(entry));
    }
    return reply;
}

} // namespace Hyssop
