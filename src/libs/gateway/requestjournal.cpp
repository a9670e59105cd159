#include "requestjournal.h"

#include "requestlog.h"

#include <observability/logging.h>
#include <observability/metricsregistry.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <xxhash.h>

#include <map>
#include <optional>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr int MaximumRecordAttempts = 6;
constexpr std::chrono::milliseconds InitialRecordDelay{500};
constexpr int MaximumPendingOutcomes = 1024;
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

/// A claim whose intent has not been read back from the log yet.
struct PendingClaim
{
    explicit PendingClaim(const asio::any_io_executor &executor)
        : changed(executor)
    {
    }

    std::optional<KeyClaim> readBack;
    std::optional<AppendOutcome> appended;
    asio::steady_timer changed;
};

using PendingClaimPtr = std::shared_ptr<PendingClaim>;

struct JournalState
{
    JournalState(asio::any_io_executor stateExecutor, RequestLog &requestLog, MetricsRegistry &registry, RequestJournal::WindowSource source)
        : executor(std::move(stateExecutor))
        , log(requestLog)
        , metrics(registry)
        , windows(std::move(source))
    {
    }

    asio::any_io_executor executor;
    RequestLog &log;
    MetricsRegistry &metrics;
    RequestJournal::WindowSource windows;
    IdempotencyTable table;
    std::map<std::string, PendingClaimPtr> pending; // by request id
    int pendingOutcomes = 0;
    bool stopped = false; // the RequestLog may no longer exist
};

using JournalStatePtr = std::shared_ptr<JournalState>;

static KeyClaim claimFromEntry(const IdempotencyEntry &entry)
{
    if (!entry.outcome) {
        return KeyTaken{};
    }
    return *entry.outcome;
}

static KeyClaim claimAfterReadBack(const JournalState &state, const Wire::RequestIntent &intent, IntentVerdict verdict)
{
    if (verdict == IntentVerdict::BodyMismatch) {
        return KeyMismatch{};
    }
    const IdempotencyEntry *entry = state.table.find({intent.customer, intent.serviceName, intent.key});
    if (verdict == IntentVerdict::First) {
        return KeyGranted{};
    }
    return entry == nullptr ? KeyClaim(KeyTaken{}) : claimFromEntry(*entry);
}

static void applyIntent(JournalState &state, const Wire::RequestIntent &intent, WallTime time)
{
    const IntentVerdict verdict = state.table.applyIntent(intent, time, state.windows(intent.customer, intent.serviceName));
    const auto pending = state.pending.find(intent.requestId);
    if (pending != state.pending.end()) {
        pending->second->readBack = claimAfterReadBack(state, intent, verdict);
        pending->second->changed.cancel();
    }
}

static void applyBatch(JournalState &state, WallTime time, const Wire::RecordBatch &batch)
{
    for (const Wire::Record &record : batch.records) {
        if (record.__isset.requestIntent) {
            applyIntent(state, record.requestIntent, time);
        } else if (record.__isset.requestOutcome) {
            state.table.applyOutcome(record.requestOutcome, time);
        }
    }
    state.metrics.set("hyssop_gateway_idempotency_keys", static_cast<double>(state.table.size()));
}

static asio::awaitable<void> appendIntent(JournalStatePtr state, Wire::RequestIntent intent, PendingClaimPtr claim)
{
    Wire::Record record;
    record.__set_requestIntent(intent);
    std::vector<Wire::Record> records{record};
    claim->appended = co_await state->log.append(std::move(records));
    claim->changed.cancel();
}

static asio::awaitable<void> appendOutcome(JournalStatePtr state, Wire::RequestOutcome outcome)
{
    Wire::Record record;
    record.__set_requestOutcome(outcome);
    auto delay = InitialRecordDelay;
    for (int attempt = 1; attempt <= MaximumRecordAttempts; ++attempt) {
        std::vector<Wire::Record> records{record};
        const AppendOutcome appended = co_await state->log.append(std::move(records));
        if (std::holds_alternative<Appended>(appended)) {
            --state->pendingOutcomes;
            co_return;
        }
        asio::steady_timer timer(state->executor, delay);
        co_await timer.async_wait(AsTuple);
        delay *= 2;
        if (state->stopped) {
            co_return;
        }
    }
    --state->pendingOutcomes;
    state->metrics.add("hyssop_gateway_outcomes_lost_total");
    logMessage(LogLevel::Warning, "gateway", "request outcome could not be recorded", {{"request_id", outcome.requestId}, {"customer", outcome.customer}});
}

static void recordOutcome(const JournalStatePtr &state, Wire::RequestOutcome outcome)
{
    if (state->pendingOutcomes >= MaximumPendingOutcomes) {
        state->metrics.add("hyssop_gateway_outcomes_lost_total");
        return;
    }
    ++state->pendingOutcomes;
    asio::co_spawn(state->executor, appendOutcome(state, std::move(outcome)), asio::detached);
}

static void recordNotRun(const JournalStatePtr &state, const Wire::RequestIntent &intent)
{
    Wire::RequestOutcome outcome;
    outcome.customer = intent.customer;
    outcome.serviceName = intent.serviceName;
    outcome.key = intent.key;
    outcome.requestId = intent.requestId;
    outcome.notRun = true;
    recordOutcome(state, std::move(outcome));
}

/// Returns true if the claim has a result: the intent was read back, or its append failed or may have failed.
static bool isDecided(const PendingClaim &claim)
{
    if (!claim.appended) {
        return false;
    }
    return claim.readBack || !std::holds_alternative<Appended>(*claim.appended);
}

static asio::awaitable<KeyClaim> appendAndReadBack(JournalStatePtr state, Wire::RequestIntent intent, TimePoint deadline)
{
    const auto claim = std::make_shared<PendingClaim>(state->executor);
    state->pending[intent.requestId] = claim;
    asio::co_spawn(state->executor, appendIntent(state, intent, claim), asio::detached);
    while (!isDecided(*claim) && std::chrono::steady_clock::now() < deadline) {
        claim->changed.expires_at(deadline);
        co_await claim->changed.async_wait(AsTuple);
    }
    state->pending.erase(intent.requestId);
    if (claim->appended && std::holds_alternative<AppendRejected>(*claim->appended)) {
        co_return KeyRefused{std::get<AppendRejected>(*claim->appended).reason};
    }
    const bool isAppended = claim->appended && std::holds_alternative<Appended>(*claim->appended);
    if (!isAppended || !claim->readBack) {
        recordNotRun(state, intent);
        co_return KeyRefused{"the request intent was not confirmed by the platform log in time"};
    }
    co_return *claim->readBack;
}

} // namespace Internal

std::int64_t requestHash(std::string_view method, std::string_view target, std::string_view body)
{
    std::string hashed(method);
    hashed += ' ';
    hashed += target;
    hashed += '\n';
    hashed += body;
    return static_cast<std::int64_t>(XXH3_64bits(hashed.data(), hashed.size()));
}

RequestJournal::RequestJournal(asio::any_io_executor executor, RequestLog &log, MetricsRegistry &metrics, WindowSource windows)
    : m_state(std::make_shared<Internal::JournalState>(std::move(executor), log, metrics, std::move(windows)))
{
    log.setBatchHandler([state = m_state](WallTime time, const Wire::RecordBatch &batch) { Internal::applyBatch(*state, time, batch); });
}

RequestJournal::~RequestJournal()
{
    m_state->stopped = true;
}

asio::awaitable<KeyClaim> RequestJournal::claim(Wire::RequestIntent intent, TimePoint deadline)
{
    const auto state = m_state;
    if (!state->log.caughtUp()) {
        co_return KeyRefused{"the request stream has not been read up to its head"};
    }
    const IdempotencyEntry *entry = state->table.find({intent.customer, intent.serviceName, intent.key});
    // The table's time advances only with records of the stream. If the key has expired by the wall clock, a new intent
    // decides who owns it.
    if (entry != nullptr && std::chrono::system_clock::now() < entry->expiresAt) {
        co_return entry->bodyHash == intent.bodyHash ? Internal::claimFromEntry(*entry) : KeyClaim(KeyMismatch{});
    }
    if (!state->table.hasCapacity(intent.customer)) {
        co_return KeyRefused{"too many idempotency keys are in use"};
    }
    co_return co_await Internal::appendAndReadBack(state, std::move(intent), deadline);
}

void RequestJournal::record(Wire::RequestOutcome outcome)
{
    Internal::recordOutcome(m_state, std::move(outcome));
}

const IdempotencyTable &RequestJournal::table() const
{
    return m_state->table;
}

} // namespace Hyssop
