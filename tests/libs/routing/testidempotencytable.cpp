#include <routing/idempotencytable.h>

#include <criterion/criterion.h>

#include <random>
#include <set>

using namespace Hyssop;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::chrono::minutes Window{10};

static WallTime at(std::chrono::seconds time)
{
    return WallTime(time);
}

static Wire::RequestIntent intentOf(const std::string &key, const std::string &requestId, std::int64_t bodyHash = 1)
{
    Wire::RequestIntent intent;
    intent.customer = "cascadia";
    intent.serviceName = "sales";
    intent.key = key;
    intent.requestId = requestId;
    intent.bodyHash = bodyHash;
    return intent;
}

static Wire::RequestOutcome outcomeOf(const std::string &key, const std::string &requestId, const std::string &body, bool notRun = false)
{
    Wire::RequestOutcome outcome;
    outcome.customer = "cascadia";
    outcome.serviceName = "sales";
    outcome.key = key;
    outcome.requestId = requestId;
    outcome.known = !notRun;
    outcome.notRun = notRun;
    outcome.status = 200;
    outcome.body = body;
    return outcome;
}

static const IdempotencyEntry *entryOf(const IdempotencyTable &table, const std::string &key)
{
    return table.find({"cascadia", "sales", key});
}

// Guards P7: a second intent must not take over the key of a request that may have run.
Test(idempotencytable, firstIntentWins)
{
    IdempotencyTable table;
    cr_assert(table.applyIntent(intentOf("k", "a"), at(seconds(0)), Window) == IntentVerdict::First);
    cr_assert(table.applyIntent(intentOf("k", "b"), at(seconds(1)), Window) == IntentVerdict::Duplicate);
    cr_assert(table.applyIntent(intentOf("k", "c", 2), at(seconds(1)), Window) == IntentVerdict::BodyMismatch);
    table.applyOutcome(outcomeOf("k", "b", "of the loser"), at(seconds(2)));
    table.applyOutcome(outcomeOf("k", "b", "", true), at(seconds(2)));
    cr_assert(entryOf(table, "k") != nullptr);
    cr_assert(!entryOf(table, "k")->outcome);
    table.applyOutcome(outcomeOf("k", "a", "sold"), at(seconds(3)));
    table.applyOutcome(outcomeOf("k", "a", "changed"), at(seconds(4)));
    table.applyOutcome(outcomeOf("k", "a", "", true), at(seconds(4)));
    cr_assert_str_eq(entryOf(table, "k")->outcome->body.c_str(), "sold");
    auto other = intentOf("k", "d");
    other.customer = "mtkvari";
    cr_assert(table.applyIntent(other, at(seconds(5)), Window) == IntentVerdict::First);
}

// Guards against a key that stays owned by a request that never ran, also if its intent is read after the outcome.
Test(idempotencytable, notRunFreesTheKey)
{
    IdempotencyTable table;
    table.applyIntent(intentOf("k", "a"), at(seconds(0)), Window);
    table.applyOutcome(outcomeOf("k", "a", "", true), at(seconds(1)));
    cr_assert(entryOf(table, "k") == nullptr);
    table.applyIntent(intentOf("k", "a"), at(seconds(2)), Window);
    cr_assert(entryOf(table, "k") == nullptr);
    cr_assert(table.applyIntent(intentOf("k", "b"), at(seconds(3)), Window) == IntentVerdict::First);
    cr_assert_str_eq(entryOf(table, "k")->requestId.c_str(), "b");
}

// Guards against keys that expire before their window has passed, or never.
Test(idempotencytable, keepsKeysForTheWindow)
{
    IdempotencyTable table;
    table.applyIntent(intentOf("k", "a"), at(seconds(0)), Window);
    cr_assert(table.applyIntent(intentOf("k", "b"), at(seconds(599)), Window) == IntentVerdict::Duplicate);
    cr_assert(table.applyIntent(intentOf("k", "c"), at(seconds(600)), Window) == IntentVerdict::First);
    // A log clock that steps back does not shorten the window.
    cr_assert(table.applyIntent(intentOf("j", "d"), at(seconds(100)), Window) == IntentVerdict::First);
    cr_assert(table.applyIntent(intentOf("j", "e"), at(seconds(1100)), Window) == IntentVerdict::Duplicate);
    table.applyIntent(intentOf("i", "f"), at(seconds(5000)), Window);
    cr_assert_eq(table.size(), 1);
}

// Guards against unbounded memory use, and against one customer that uses up the capacity of another.
Test(idempotencytable, boundsItsMemory)
{
    constexpr int KeyCount = 20000;
    const std::string body(1000, 'x');
    IdempotencyTable table;
    int accepted = 0;
    for (int i = 0; i < KeyCount && table.hasCapacity("cascadia"); ++i) {
        const std::string key = std::to_string(i);
        table.applyIntent(intentOf(key, "r" + key), at(seconds(0)), Window);
        table.applyOutcome(outcomeOf(key, "r" + key, body), at(seconds(0)));
        ++accepted;
    }
    cr_assert_lt(accepted, KeyCount);
    cr_assert(table.hasCapacity("mtkvari"));
    cr_assert_leq(table.bodyBytes(), 4 * 1024 * 1024);
    // The oldest response body was discarded, its key was kept.
    cr_assert(entryOf(table, "0")->outcome->truncated);
    cr_assert_eq(table.size(), accepted);
    table.applyIntent(intentOf("late", "late"), at(seconds(601)), Window);
    cr_assert_eq(table.size(), 1);
    cr_assert_eq(table.bodyBytes(), 0);
    cr_assert(table.hasCapacity("cascadia"));
}

// Guards P7 over random streams (seed 20261204): two readers reach the same state, and within a window at most one
// request without the outcome "not run" owns a key.
Test(idempotencytable, readersAgree)
{
    constexpr int StepCount = 20000;
    std::mt19937_64 random(20261204);
    IdempotencyTable first;
    IdempotencyTable second;
    std::map<std::string, std::pair<std::string, std::int64_t>> holders; // key: request id and time
    std::set<std::string> notRun;
    for (int step = 0; step < StepCount; ++step) {
        const std::string key = std::to_string(random() % 20);
        const std::string requestId = key + "/" + std::to_string(random() % 200);
        const std::int64_t time = step / 10;
        if (random() % 2 == 0) {
            const auto verdict = first.applyIntent(intentOf(key, requestId), at(seconds(time)), Window);
            cr_assert(second.applyIntent(intentOf(key, requestId), at(seconds(time)), Window) == verdict);
            if (verdict == IntentVerdict::First && !notRun.contains(requestId)) {
                const auto holder = holders.find(key);
                const bool isFree = holder == holders.end() || holder->second.first == requestId || notRun.contains(holder->second.first)
                    || time - holder->second.second >= seconds(Window).count();
                cr_assert(isFree, "step %d", step);
                if (holder == holders.end() || holder->second.first != requestId) {
                    holders[key] = {requestId, time};
                }
            }
        } else {
            // A request that is known to have run never gets the outcome "not run".
            const IdempotencyEntry *entry = entryOf(first, key);
            const bool isNotRun = random() % 3 == 0 && !(entry != nullptr && entry->requestId == requestId && entry->outcome);
            first.applyOutcome(outcomeOf(key, requestId, "x", isNotRun), at(seconds(time)));
            second.applyOutcome(outcomeOf(key, requestId, "x", isNotRun), at(seconds(time)));
            if (isNotRun) {
                notRun.insert(requestId);
            }
        }
        cr_assert_eq(first.size(), second.size());
        cr_assert_eq(first.bodyBytes(), second.bodyBytes());
    }
}
