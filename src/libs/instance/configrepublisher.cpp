#include "configrepublisher.h"

#include <observability/metricsregistry.h>

#include <algorithm>
#include <set>

namespace Hyssop::Internal {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds ReadBackTimeout{5000}; // until an appended snapshot is read
constexpr std::chrono::milliseconds MinimumCheckInterval{20};
constexpr std::chrono::milliseconds MaximumCheckInterval{60'000};
constexpr std::size_t SnapshotBytesPerAppend = 128 * 1024;

/// Returns snapshots of due keys that are not in @p written, up to the size of one append, and adds their keys to it.
static std::vector<Wire::Record> takeDueSnapshots(const ConfigServiceState &state, std::chrono::milliseconds age, std::set<std::string> &written)
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
    // With a wrong clock a key may be due again at once; each key is written only once per call to avoid an endless loop.
    std::set<std::string> written;
    while (!state->stopped && state->isReady() && state->tailer.caughtUp()) {
        // Keys that another instance has republished in the meantime are no longer due.
        std::vector<Wire::Record> records = takeDueSnapshots(*state, age, written);
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
        const bool wasRead = co_await waitUntilRead(state, appended->offset, ReadBackTimeout);
        if (!wasRead) {
            co_return;
        }
    }
}

asio::awaitable<void> republish(ConfigServiceStatePtr state)
{
    const auto interval = std::clamp(state->options.retention / 50, MinimumCheckInterval, MaximumCheckInterval);
    while (!state->stopped) {
        // The age is randomized, so that usually one instance has republished a key before it is due on the others.
        std::uniform_int_distribution<std::int64_t> jitter(0, state->options.retention.count() / 10);
        const auto age = state->options.retention / 2 + std::chrono::milliseconds(jitter(state->random));
        const TimePoint nextAgeAt = std::chrono::steady_clock::now() + state->options.retention / 10;
        while (!state->stopped && std::chrono::steady_clock::now() < nextAgeAt) {
            co_await sleepFor(state, interval);
            co_await republishDueKeys(state, age);
        }
    }
}

} // namespace Hyssop::Internal
