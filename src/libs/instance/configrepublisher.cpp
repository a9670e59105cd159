#include "configrepublisher.h"

#include <observability/metricsregistry.h>

#include <algorithm>
#include <set>

namespace Hyssop::Internal {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds ReadBackTimeout{5000}; // of a snapshot
constexpr std::chrono::milliseconds ShortestRepublishCheck{20};
constexpr std::chrono::milliseconds LongestRepublishCheck{60'000};
constexpr std::size_t SnapshotBytesPerAppend = 128 * 1024;

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

asio::awaitable<void> republish(ConfigServiceStatePtr state)
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

} // namespace Hyssop::Internal
