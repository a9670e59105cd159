#include <config/configledger.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <random>

using namespace Hyssop;
using namespace std::chrono_literals;

// A model of one configuration stream, its readers and its operators, in steps of simulated time.

constexpr std::chrono::milliseconds Retention{100'000};
constexpr std::chrono::milliseconds Step{100};
constexpr std::size_t ReaderCount = 6;
constexpr std::size_t FreezableReaders = 2;
constexpr int KeyCount = 5;

struct StreamRecord
{
    std::int64_t offset;
    WallTime time;
    Wire::Record record;
};

/// Reference: the revision and change id of every key that result from the acceptance rule alone, for every offset.
struct Reference
{
    struct Version
    {
        std::int64_t offset;
        std::int64_t revision;
        std::string changeId;
        bool removed;
    };

    std::map<std::string, std::vector<Version>> versions;

    void apply(std::int64_t offset, const Wire::Record &record)
    {
        if (!record.__isset.configChange) {
            return;
        }
        const Wire::ConfigChange &change = record.configChange;
        std::vector<Version> &list = versions[change.key];
        const std::int64_t revision = list.empty() ? 0 : list.back().revision;
        if (change.baseRevision == revision) {
            list.push_back({offset, revision + 1, change.changeId, change.removed});
        }
    }

    /// Last version at @p offset; no value if the key does not exist.
    const Version *at(const std::string &key, std::int64_t offset) const
    {
        const auto list = versions.find(key);
        if (list == versions.end()) {
            return nullptr;
        }
        const auto next = std::ranges::upper_bound(list->second, offset, {}, &Version::offset);
        return next == list->second.begin() ? nullptr : &*std::prev(next);
    }
};

struct Reader
{
    std::unique_ptr<ConfigLedger> ledger;
    std::int64_t readUpTo = 0;
    std::chrono::milliseconds republishAge{0};
    std::map<std::string, std::int64_t> highest; // revision seen for each key
    bool peerOnly = false; // merged its state from a peer and has not read the log up to the peer's offset yet
    std::int64_t mergedUpTo = 0;
    std::int64_t firstVisible = 1;
    WallTime frozenUntil; // neither reads nor writes before
};

/// A record that has been sent to the log and has not arrived yet.
struct InFlightRecord
{
    WallTime arrival;
    Wire::Record record;
};

struct Faults
{
    bool restarts = true;
    std::chrono::milliseconds maximumFlightTime{3000};
    std::chrono::milliseconds maximumOutage{20'000}; // a fifth of the retention
};

struct World
{
    World(unsigned seed, Faults faultOptions)
        : random(seed)
        , faults(faultOptions)
    {
        for (Reader &reader : readers) {
            restart(reader);
        }
    }

    std::int64_t pick(std::int64_t below) { return std::uniform_int_distribution<std::int64_t>(0, below - 1)(random); }
    std::int64_t oldest() const { return stream.empty() ? lastOffset + 1 : stream.front().offset; }
    bool logAvailable() const { return now >= outageEnd; }

    void restart(Reader &reader)
    {
        reader = Reader();
        reader.ledger = std::make_unique<ConfigLedger>([](const std::string &, const std::string &) { return std::nullopt; });
        // Half of the retention with jitter, as ConfigService does it.
        reader.republishAge = Retention / 2 + std::chrono::milliseconds(pick(Retention.count() / 10));
    }

    void send(const Wire::Record &record) { inFlight.push_back({now + std::chrono::milliseconds(pick(faults.maximumFlightTime.count())), record}); }

    void deliver()
    {
        while (!stream.empty() && now - stream.front().time > Retention) {
            stream.pop_front();
        }
        if (!logAvailable()) {
            return;
        }
        std::vector<InFlightRecord> waiting;
        for (const InFlightRecord &pending : inFlight) {
            if (pending.arrival > now) {
                waiting.push_back(pending);
                continue;
            }
            stream.push_back({++lastOffset, now, pending.record});
            reference.apply(lastOffset, pending.record);
        }
        inFlight = std::move(waiting);
    }

    /// Reads up to @p maximum records and checks the state after each of them.
    void read(Reader &reader, std::size_t maximum)
    {
        reader.ledger->setOldestOffset(oldest());
        if (reader.readUpTo < oldest() - 1) {
            reader.readUpTo = oldest() - 1;
            reader.firstVisible = oldest();
        }
        auto position = std::ranges::upper_bound(stream, reader.readUpTo, {}, &StreamRecord::offset);
        for (; position != stream.end() && maximum > 0; ++position, --maximum) {
            reader.ledger->apply(position->offset, position->time, position->record);
            reader.readUpTo = position->offset;
            check(reader);
        }
        if (reader.readUpTo >= lastOffset) {
            reader.ledger->settleAtHead();
            check(reader);
        }
    }

    /// Compares the reader with the reference at its own offset.
    void check(Reader &reader)
    {
        ++checks;
        for (const Wire::ConfigEntry &entry : reader.ledger->entries()) {
            std::int64_t &highest = reader.highest[entry.key];
            cr_assert_geq(entry.revision, highest, "%s fell from revision %ld to %ld", entry.key.c_str(), highest, entry.revision);
            highest = entry.revision;
        }
        if (!reader.ledger->isComplete() || reader.peerOnly) {
            return;
        }
        ++completeChecks;
        for (const auto &[key, list] : reference.versions) {
            const Reference::Version *expected = reference.at(key, reader.readUpTo);
            const auto entry = reader.ledger->entry(key);
            const std::int64_t revision = entry ? entry->revision : 0;
            const std::int64_t expectedRevision = expected == nullptr ? 0 : expected->revision;
            cr_assert_eq(
                revision, expectedRevision, "%s has revision %ld instead of %ld at offset %ld", key.c_str(), revision, expectedRevision, reader.readUpTo);
            cr_assert(expected == nullptr || (entry->changeId == expected->changeId && entry->removed == expected->removed));
            if (expected != nullptr) {
                // An accepted change that this reader has seen must never count as refused.
                const Reference::Version &version = list[checks % list.size()];
                const auto verdict = reader.ledger->verdict(key, version.changeId);
                const bool seen = version.offset >= reader.firstVisible && version.offset <= reader.readUpTo;
                cr_assert(!seen || !verdict || verdict->verdict != Wire::ChangeVerdict::Conflict, "%s", version.changeId.c_str());
            }
        }
    }

    /// An operator submits a change through a reader, based on that reader's state; often at the same time as others.
    void submitChange(Reader &reader)
    {
        if (!reader.ledger->isComplete()) {
            return;
        }
        const std::string key = "contract/customer-" + std::to_string(pick(KeyCount));
        const auto entry = reader.ledger->entry(key);
        Wire::ConfigChange change;
        change.key = key;
        change.baseRevision = entry ? entry->revision : 0;
        change.changeId = "change-" + std::to_string(++changes);
        change.body = "body-" + std::to_string(changes);
        change.removed = change.baseRevision > 0 && pick(8) == 0;
        Wire::Record record;
        record.__set_configChange(change);
        for (std::int64_t copies = pick(5) == 0 ? 2 : 1; copies > 0; --copies) {
            send(record);
        }
    }

    void republish(Reader &reader)
    {
        // ConfigService republishes only while it follows the head.
        if (!logAvailable() || reader.readUpTo < lastOffset) {
            return;
        }
        for (const std::string &key : reader.ledger->dueKeys(now, reader.republishAge)) {
            send(reader.ledger->snapshot(key));
            ++snapshots;
        }
    }

    void mergeFromPeer(Reader &reader)
    {
        const Reader &peer = readers[pick(ReaderCount)];
        if (&peer == &reader || !peer.ledger->isComplete() || peer.peerOnly) {
            return;
        }
        reader.ledger->mergePeerState(peer.ledger->entries(), peer.ledger->appliedUpTo());
        ++peerMerges;
        // The reference can be compared again when the log has been read up to the peer's offset.
        reader.peerOnly = true;
        reader.mergedUpTo = peer.readUpTo;
    }

    void step(int stepsPerChange)
    {
        now += Step;
        if (logAvailable() && pick(500) == 0) {
            outageEnd = now + std::chrono::milliseconds(pick(faults.maximumOutage.count()));
        }
        deliver();
        for (std::size_t i = 0; i < ReaderCount; ++i) {
            Reader &reader = readers[i];
            if (now < reader.frozenUntil) {
                continue;
            }
            // Long enough for records to expire unread; the other readers republish the state.
            if (i < FreezableReaders && pick(3000) == 0) {
                reader.frozenUntil = now + std::chrono::milliseconds(pick(Retention.count() * 2));
                ++freezes;
            }
            if (faults.restarts && pick(logAvailable() ? 1000 : 200) == 0) {
                restart(reader);
                ++restarts;
            }
            if (!logAvailable() && !reader.ledger->isComplete() && pick(2) == 0) {
                mergeFromPeer(reader);
            }
            if (logAvailable() && pick(3) == 0) {
                read(reader, 1 + pick(30));
            }
            reader.peerOnly = reader.peerOnly && reader.readUpTo < reader.mergedUpTo;
            if (pick(stepsPerChange) == 0) {
                submitChange(reader);
            }
            if (pick(10) == 0) {
                republish(reader);
            }
        }
    }

    std::mt19937 random;
    Faults faults;
    WallTime now = WallTime(std::chrono::hours(1));
    WallTime outageEnd;
    std::deque<StreamRecord> stream;
    std::int64_t lastOffset = 0;
    Reference reference;
    std::vector<InFlightRecord> inFlight;
    std::array<Reader, ReaderCount> readers;
    int changes = 0;
    int snapshots = 0;
    int restarts = 0;
    int peerMerges = 0;
    int freezes = 0;
    std::uint64_t checks = 0;
    std::uint64_t completeChecks = 0;
};

/// Events of a series of runs. Runs without conflicts or truncation would prove nothing.
struct Totals
{
    std::int64_t changes = 0;
    std::int64_t accepted = 0;
    std::int64_t snapshots = 0;
    std::int64_t restarts = 0;
    std::int64_t peerMerges = 0;
    std::int64_t freezes = 0;
    std::uint64_t gaps = 0;
    std::int64_t expired = 0;
    std::uint64_t checks = 0;
    std::uint64_t completeChecks = 0;
};

static void runWorld(unsigned seed, Totals &totals)
{
    World world(seed, {});
    constexpr int Steps = 12'000; // 1,200 s, 12 times the retention
    for (int i = 0; i < Steps; ++i) {
        // Alternates between many and few changes. With few changes only republication preserves the state.
        world.step(i / 2000 % 2 == 0 ? 100 : 20'000);
    }
    for (const Reader &reader : world.readers) {
        cr_assert_eq(reader.ledger->counters().contradictions, 0, "seed %u", seed);
        totals.gaps += reader.ledger->counters().gaps;
        cr_assert(
            reader.ledger->isComplete() || world.now < reader.frozenUntil || !world.logAvailable() || reader.readUpTo < world.lastOffset, "seed %u", seed);
    }
    totals.changes += world.changes;
    for (const auto &[key, list] : world.reference.versions) {
        totals.accepted += static_cast<std::int64_t>(list.size());
    }
    totals.snapshots += world.snapshots;
    totals.restarts += world.restarts;
    totals.peerMerges += world.peerMerges;
    totals.freezes += world.freezes;
    totals.expired += world.oldest() - 1;
    totals.checks += world.checks;
    totals.completeChecks += world.completeChecks;
}

// Guards against readers that disagree on a revision, a revision that falls, an accepted change that is not in force at
// a reader that has read it, and state that is lost when its records expire. Seeds 1 to 40.
Test(configproperties, allReadersAgreeOverTruncationAndRaces)
{
    Totals totals;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::fprintf(stderr, "seed %u\n", seed);
        runWorld(seed, totals);
    }
    std::fprintf(
        stderr,
        "%ld changes, %ld accepted, %ld snapshots, %ld restarts, %ld merged peer states, %ld freezes, %lu gaps at the end, %ld records expired, %lu of %lu "
        "checks on complete state\n",
        totals.changes,
        totals.accepted,
        totals.snapshots,
        totals.restarts,
        totals.peerMerges,
        totals.freezes,
        totals.gaps,
        totals.expired,
        totals.completeChecks,
        totals.checks);
    cr_assert(totals.accepted > 1000 && totals.changes - totals.accepted > 500 && totals.snapshots > 1000);
    cr_assert(totals.restarts > 100 && totals.peerMerges > 100 && totals.freezes > 100 && totals.gaps > 0 && totals.expired > 1000);
    cr_assert_gt(totals.completeChecks * 10, totals.checks * 5);
}
