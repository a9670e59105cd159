#include "configservice.h"

#include <config/configledger.h>
#include <observability/logging.h>
#include <observability/metricsregistry.h>
#include <platform/logappender.h>
#include <platform/logclient.h>
#include <platform/logtailer.h>
#include <wire/rpcclient.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <list>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr std::string_view ContractPrefix = "contract/";
constexpr std::string_view DomainPrefix = "domain/";
constexpr std::chrono::milliseconds PeerQueryInterval{250};
constexpr std::chrono::milliseconds PeerQueryTimeout{2000};
constexpr std::chrono::milliseconds LogSilence{1000}; // without a successful read the log counts as unavailable
constexpr std::chrono::milliseconds ReadBackTimeout{5000}; // of a snapshot
constexpr std::chrono::milliseconds ShortestRepublishCheck{20};
constexpr std::chrono::milliseconds LongestRepublishCheck{60'000};
constexpr std::size_t SnapshotBytesPerAppend = 128 * 1024;
constexpr std::size_t SnapshotOverhead = 512; // names and numbers of a snapshot, with a margin
constexpr std::size_t LargestReply = 768 * 1024; // stays below the limit of a message
constexpr std::int32_t MostAuditEntries = 1000;

static AppenderOptions appenderOptions(const ConfigServiceOptions &options)
{
    AppenderOptions result;
    result.maximumAppendsPerSecond = options.maximumAppendsPerSecond;
    return result;
}

struct ConfigServiceState
{
    ConfigServiceState(asio::any_io_executor ioExecutor, LogClient &log, RpcClient &rpc, MetricsRegistry &registry, ConfigServiceOptions serviceOptions)
        : executor(std::move(ioExecutor))
        , peers(rpc)
        , metrics(registry)
        , options(std::move(serviceOptions))
        , ledger([this](const std::string &key, const std::string &body) { return faultOfBody(key, body); })
        , tailer(log, "config", registry)
        , appender(executor, log, "config", options.instance, appenderOptions(options), registry)
        , random(std::random_device{}())
    {
    }

    std::variant<Contract, std::vector<ContractFault>> parse(std::string_view text) const
    {
        return options.contractParser ? options.contractParser(text) : parseContract(text);
    }

    std::optional<std::string> faultOfBody(const std::string &key, const std::string &body) const;

    asio::any_io_executor executor;
    RpcClient &peers;
    MetricsRegistry &metrics;
    ConfigServiceOptions options;
    ConfigLedger ledger;
    LogTailer tailer;
    LogAppender appender;
    std::minstd_rand random;
    std::map<std::string, ContractInForce> contracts; // by customer
    std::function<void()> changeHandler;
    std::list<asio::steady_timer *> waiting; // cancelled when something was read, or at the stop
    std::uint64_t reportedGeneration = 0;
    ConfigLedgerCounters reportedCounters;
    TimePoint startedAt;
    std::optional<TimePoint> lastReadAt;
    std::optional<Duration> logClockOffset; // of the log's clock to the steady clock
    std::optional<TimePoint> peerProofAt; // at this time a peer's head was not above knownUpTo()
    std::optional<std::pair<std::int64_t, TimePoint>> laterProof; // head that is still to be read
    bool adopted = false;
    bool stopped = false;

    bool isReady() const { return ledger.isComplete() && (adopted || tailer.caughtUp()); }
};

using ConfigServiceStatePtr = std::shared_ptr<ConfigServiceState>;

static std::string listFaults(const std::vector<ContractFault> &faults)
{
    std::string text;
    for (const ContractFault &fault : faults) {
        text += (text.empty() ? "" : "; ") + (fault.line > 0 ? "line " + std::to_string(fault.line) + ": " : std::string()) + fault.message;
    }
    return text;
}

std::optional<std::string> ConfigServiceState::faultOfBody(const std::string &key, const std::string &body) const
{
    if (key.starts_with(DomainPrefix)) {
        return body == "in" || body == "out" ? std::nullopt : std::optional<std::string>("the body must be \"in\" or \"out\"");
    }
    if (!key.starts_with(ContractPrefix)) {
        return "unknown kind of key";
    }
    const auto parsed = parse(body);
    if (const auto *faults = std::get_if<std::vector<ContractFault>>(&parsed)) {
        return listFaults(*faults);
    }
    const std::string &customer = std::get<Contract>(parsed).customer;
    if (customer != key.substr(ContractPrefix.size())) {
        return "the contract is for customer \"" + customer + "\"";
    }
    return std::nullopt;
}

static void wakeWaiting(ConfigServiceState &state)
{
    for (asio::steady_timer *timer : state.waiting) {
        timer->cancel();
    }
}

/// Waits until something was read, the service stops or @p deadline is reached.
static asio::awaitable<void> waitForRead(ConfigServiceStatePtr state, TimePoint deadline)
{
    asio::steady_timer timer(state->executor, deadline);
    const auto position = state->waiting.insert(state->waiting.end(), &timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    state->waiting.erase(position);
}

/// Sleeps at least @p delay unless the service stops.
static asio::awaitable<void> pause(ConfigServiceStatePtr state, std::chrono::milliseconds delay)
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
    const ConfigLedgerCounters &now = state.ledger.counters();
    ConfigLedgerCounters &before = state.reportedCounters;
    const auto publish = [&](const char *name, std::uint64_t ConfigLedgerCounters::*counter) {
        state.metrics.add(name, {}, static_cast<double>(now.*counter - before.*counter));
    };
    publish("hyssop_config_changes_accepted_total", &ConfigLedgerCounters::accepted);
    publish("hyssop_config_changes_conflicting_total", &ConfigLedgerCounters::conflicts);
    publish("hyssop_config_unusable_bodies_total", &ConfigLedgerCounters::unusableBodies);
    publish("hyssop_config_invalid_records_total", &ConfigLedgerCounters::invalidRecords);
    publish("hyssop_config_contradictions_total", &ConfigLedgerCounters::contradictions);
    publish("hyssop_config_gaps_total", &ConfigLedgerCounters::gaps);
    before = now;
    state.metrics.set("hyssop_config_applied_offset", static_cast<double>(state.ledger.appliedUpTo()));
    state.metrics.set("config_ready", state.isReady() ? 1 : 0);
}

/// Brings everything that depends on the ledger up to date.
static void noteLedgerChange(ConfigServiceState &state)
{
    publishCounters(state);
    if (state.laterProof && state.laterProof->first <= state.ledger.knownUpTo()) {
        state.peerProofAt = std::max(state.peerProofAt.value_or(TimePoint::min()), state.laterProof->second);
        state.laterProof.reset();
    }
    if (state.reportedGeneration != state.ledger.generation()) {
        state.reportedGeneration = state.ledger.generation();
        refreshContracts(state);
        if (state.changeHandler) {
            state.changeHandler();
        }
    }
    wakeWaiting(state);
}

/// Learns the log's clock from records that arrive soon after they were written. This machine's wall clock may be wrong.
static void noteLogTime(ConfigServiceState &state, WallTime time)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const bool isNew = state.tailer.caughtUp() && state.lastReadAt && now - *state.lastReadAt < LogSilence;
    if (!isNew) {
        return;
    }
    // A delay on the way makes the offset smaller, so the largest one is the best estimate.
    const Duration offset = time.time_since_epoch() - now.time_since_epoch();
    state.logClockOffset = std::max(state.logClockOffset.value_or(offset), offset);
}

/// Returns the time of the log's clock, which stamps the records. Before it is known, the wall clock has to do.
static WallTime logTime(const ConfigServiceState &state)
{
    if (!state.logClockOffset) {
        return std::chrono::system_clock::now();
    }
    return WallTime(std::chrono::steady_clock::now().time_since_epoch() + *state.logClockOffset);
}

static void applyBatch(ConfigServiceState &state, std::int64_t offset, WallTime time, const Wire::RecordBatch &batch)
{
    state.ledger.noteOldest(state.tailer.oldest());
    noteLogTime(state, time);
    for (const Wire::Record &record : batch.records) {
        state.ledger.apply(offset, time, record);
    }
}

static void noteRead(ConfigServiceState &state, std::int64_t oldest, std::int64_t head)
{
    state.lastReadAt = std::chrono::steady_clock::now();
    state.ledger.noteOldest(oldest);
    // If all records have expired, nothing below the head is left to read.
    const std::int64_t readUpTo = oldest > head ? std::max(head, state.tailer.appliedUpTo()) : state.tailer.appliedUpTo();
    if (readUpTo >= std::max<std::int64_t>(state.ledger.appliedUpTo(), 0)) {
        state.ledger.advanceTo(readUpTo);
    }
    if (readUpTo >= head) {
        state.ledger.settleAtHead();
    }
    noteLedgerChange(state);
}

static void adoptReply(ConfigServiceState &state, const Wire::ConfigStateReply &reply, TimePoint sentAt)
{
    state.ledger.adopt(reply.entries, reply.head);
    state.adopted = state.adopted || state.ledger.isComplete();
    logMessage(LogLevel::Info,
               "instance",
               "took the configuration from a peer",
               {{"offset", static_cast<long long>(reply.head)}, {"complete", state.ledger.isComplete()}});
    if (reply.ageMs >= 0 && state.ledger.isComplete() && reply.head <= state.ledger.knownUpTo()) {
        state.peerProofAt = std::max(state.peerProofAt.value_or(TimePoint::min()), sentAt - std::chrono::milliseconds(reply.ageMs));
    }
    noteLedgerChange(state);
}

static asio::awaitable<bool> askPeers(ConfigServiceStatePtr state)
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
            adoptReply(*state, reply->configStateReply, sentAt);
            co_return true;
        }
    }
    co_return false;
}

/// True if the log alone does not complete the state: it is unavailable, or its snapshots are no exact bases.
static bool needsPeers(const ConfigServiceState &state, TimePoint now)
{
    const bool silent = now - state.lastReadAt.value_or(state.startedAt) >= LogSilence;
    return !state.isReady() && (silent || state.tailer.caughtUp());
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
            co_await askPeers(state);
        }
        if (!state->isReady() && provisionalSince && std::chrono::steady_clock::now() - *provisionalSince >= state->options.provisionalTimeout) {
            logMessage(LogLevel::Warning, "instance", "no peer has a complete configuration; using the newest revisions in the log");
            state->metrics.add("hyssop_config_provisional_decisions_total");
            state->ledger.settleProvisional();
            noteLedgerChange(*state);
        }
        co_await pause(state, PeerQueryInterval);
    }
}

/// Takes due keys that are not among @p written, and adds them to it.
static std::vector<Wire::Record> nextSnapshots(const ConfigServiceState &state, std::chrono::milliseconds age, std::set<std::string> &written)
{
    std::vector<Wire::Record> records;
    std::size_t bytes = 0;
    for (const std::string &key : state.ledger.dueKeys(logTime(state), age)) {
        if (written.contains(key)) {
            continue;
        }
        Wire::Record record = state.ledger.snapshot(key);
        bytes += record.configSnapshot.body.size() + SnapshotOverhead;
        if (!records.empty() && bytes > SnapshotBytesPerAppend) {
            break;
        }
        records.push_back(std::move(record));
        written.insert(key);
    }
    return records;
}

static asio::awaitable<bool> waitUntilRead(ConfigServiceStatePtr state, std::int64_t offset, std::chrono::milliseconds timeout)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + timeout;
    while (state->ledger.appliedUpTo() < offset && !state->stopped && std::chrono::steady_clock::now() < deadline) {
        co_await waitForRead(state, deadline);
    }
    co_return state->ledger.appliedUpTo() >= offset;
}

static asio::awaitable<void> republishDueKeys(ConfigServiceStatePtr state, std::chrono::milliseconds age)
{
    // With a wrong clock a key may be due again at once; it must not be written without end.
    std::set<std::string> written;
    while (!state->stopped && state->isReady() && state->tailer.caughtUp()) {
        // What another instance has republished in the meantime is no longer due.
        std::vector<Wire::Record> records = nextSnapshots(*state, age, written);
        if (records.empty()) {
            co_return;
        }
        const auto count = static_cast<double>(records.size());
        const AppendOutcome outcome = co_await state->appender.append(std::move(records));
        const auto *appended = std::get_if<Appended>(&outcome);
        if (appended == nullptr) {
            co_return;
        }
        state->metrics.add("hyssop_config_snapshots_written_total", {}, count);
        const bool readBack = co_await waitUntilRead(state, appended->offset, ReadBackTimeout);
        if (!readBack) {
            co_return;
        }
    }
}

static asio::awaitable<void> republish(ConfigServiceStatePtr state)
{
    const auto interval = std::clamp(state->options.retention / 50, ShortestRepublishCheck, LongestRepublishCheck);
    while (!state->stopped) {
        // Instances draw different ages, so that usually one of them has republished before the next one checks.
        std::uniform_int_distribution<std::int64_t> jitter(0, state->options.retention.count() / 10);
        const auto age = state->options.retention / 2 + std::chrono::milliseconds(jitter(state->random));
        const TimePoint nextDraw = std::chrono::steady_clock::now() + state->options.retention / 10;
        while (!state->stopped && std::chrono::steady_clock::now() < nextDraw) {
            co_await pause(state, interval);
            co_await republishDueKeys(state, age);
        }
    }
}

static asio::awaitable<void> follow(ConfigServiceStatePtr state)
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

/// Waits until the change was read back from the log. @p offset is unknown if the append had no certain outcome.
static asio::awaitable<Wire::ConfigApplyReply> readBack(ConfigServiceStatePtr state, Wire::ConfigChange change, std::optional<std::int64_t> offset)
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
    if (const auto fault = state->ledger.faultOf(change)) {
        co_return makeReply(Wire::ChangeVerdict::Refused, *fault);
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
    if (const auto *refused = std::get_if<AppendRefused>(&outcome)) {
        co_return makeReply(Wire::ChangeVerdict::Unavailable, refused->reason);
    }
    const auto *appended = std::get_if<Appended>(&outcome);
    const std::optional<std::int64_t> offset = appended == nullptr ? std::nullopt : std::optional(appended->offset);
    co_return co_await readBack(state, std::move(change), offset);
}

} // namespace Internal

ConfigService::ConfigService(asio::any_io_executor executor, LogClient &log, RpcClient &peers, MetricsRegistry &metrics, ConfigServiceOptions options)
    : m_state(std::make_shared<Internal::ConfigServiceState>(std::move(executor), log, peers, metrics, std::move(options)))
{
    Internal::ConfigServiceState *state = m_state.get();
    state->tailer.setBatchHandler(
        [state](std::int64_t offset, WallTime time, const Wire::RecordBatch &batch) { Internal::applyBatch(*state, offset, time, batch); });
    state->tailer.setReadHandler([state](std::int64_t oldest, std::int64_t head) { Internal::noteRead(*state, oldest, head); });
}

ConfigService::~ConfigService()
{
    stop();
}

void ConfigService::start()
{
    m_state->startedAt = std::chrono::steady_clock::now();
    asio::co_spawn(m_state->executor, Internal::follow(m_state), asio::detached);
    asio::co_spawn(m_state->executor, Internal::completeState(m_state), asio::detached);
    asio::co_spawn(m_state->executor, Internal::republish(m_state), asio::detached);
}

void ConfigService::stop()
{
    m_state->stopped = true;
    m_state->changeHandler = nullptr;
    m_state->tailer.stop();
    Internal::wakeWaiting(*m_state);
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

bool ConfigService::domainIn(const std::string &domain) const
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
    const auto direct = m_state->tailer.headSeenAt();
    const auto &indirect = m_state->peerProofAt;
    if (!m_state->ledger.isComplete() || (!direct && !indirect)) {
        return std::nullopt;
    }
    const TimePoint provedAt = std::max(direct.value_or(TimePoint::min()), indirect.value_or(TimePoint::min()));
    // Rounded up: an age must never look younger than it is.
    return std::chrono::ceil<std::chrono::milliseconds>(std::max(now - provedAt, Duration::zero()));
}

void ConfigService::notePeerHead(std::int64_t head, std::chrono::milliseconds age, TimePoint receivedAt)
{
    if (age < std::chrono::milliseconds::zero()) {
        return;
    }
    const TimePoint provedAt = receivedAt - age;
    if (head <= m_state->ledger.knownUpTo()) {
        m_state->peerProofAt = std::max(m_state->peerProofAt.value_or(TimePoint::min()), provedAt);
    } else if (!m_state->laterProof || m_state->laterProof->second < provedAt) {
        m_state->laterProof.emplace(head, provedAt);
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
        if (bytes > Internal::LargestReply) {
            // A part must not be taken for the whole state.
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
    const auto maximum = static_cast<std::size_t>(std::clamp(request.maximum, 0, Internal::MostAuditEntries));
    std::size_t bytes = 0;
    for (Wire::AuditEntry &entry : m_state->ledger.audit(request.keyPrefix, maximum)) {
        bytes += entry.body.size() + entry.reason.size() + Internal::SnapshotOverhead;
        if (bytes > Internal::LargestReply) {
            break;
        }
        reply.entries.push_back(std::move(entry));
    }
    return reply;
}

} // namespace Hyssop
