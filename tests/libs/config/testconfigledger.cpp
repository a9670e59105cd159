#include <config/configledger.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

static std::optional<std::string> checkBody(const std::string &, const std::string &body)
{
    return body.starts_with("bad") ? std::optional<std::string>("line 1: unknown key") : std::nullopt;
}

static WallTime at(std::int64_t ms)
{
    return WallTime(std::chrono::milliseconds(ms));
}

static Wire::Record change(const std::string &key, std::int64_t base, const std::string &id, const std::string &body = "body", bool removed = false)
{
    Wire::ConfigChange change;
    change.key = key;
    change.baseRevision = base;
    change.changeId = id;
    change.body = body;
    change.operatorName = "op";
    change.removed = removed;
    Wire::Record record;
    record.__set_configChange(change);
    return record;
}

static Wire::Record snapshot(const std::string &key, std::int64_t revision, std::int64_t readUpTo, const std::string &body = "body")
{
    Wire::ConfigSnapshot snapshot;
    snapshot.key = key;
    snapshot.revision = revision;
    snapshot.readUpTo = readUpTo;
    snapshot.body = body;
    Wire::Record record;
    record.__set_configSnapshot(snapshot);
    return record;
}

static std::int64_t revisionOf(const ConfigLedger &ledger, const std::string &key)
{
    const auto entry = ledger.entry(key);
    return entry ? entry->revision : 0;
}

static const std::string Key = "contract/mtkvari";

// Guards against an instance that is ready with an empty state before it has read anything.
Test(configledger, isIncompleteBeforeTheFirstRead)
{
    ConfigLedger ledger(checkBody);
    cr_assert_not(ledger.isComplete());
    ledger.setOldestOffset(1);
    cr_assert(ledger.isComplete());
}

// Guards against a change that silently reverts another operator's change.
Test(configledger, acceptsOneOfTwoChangesOnTheSameBase)
{
    ConfigLedger ledger(checkBody);
    ledger.setOldestOffset(1);
    ledger.apply(1, at(1000), change(Key, 0, "a", "first"));
    ledger.apply(2, at(2000), change(Key, 0, "b", "second"));
    ledger.apply(3, at(3000), change(Key, 1, "c", "third"));
    cr_assert(ledger.verdict(Key, "a")->verdict == Wire::ChangeVerdict::Accepted);
    cr_assert(ledger.verdict(Key, "b")->verdict == Wire::ChangeVerdict::Conflict);
    cr_assert(ledger.verdict(Key, "b")->message.find("change a by op") != std::string::npos);
    cr_assert_eq(ledger.verdict(Key, "c")->revision, 2);
    cr_assert_eq(ledger.entry(Key)->body, "third");
    cr_assert_not(ledger.verdict("contract/other", "a"));
}

// Guards against an operator who repeats a change with the same id and is told that the accepted change was refused.
Test(configledger, repeatedChangeKeepsItsVerdict)
{
    ConfigLedger ledger(checkBody);
    ledger.setOldestOffset(1);
    ledger.apply(1, at(1000), change(Key, 0, "a"));
    ledger.apply(2, at(2000), change(Key, 0, "a"));
    ledger.apply(3, at(3000), change(Key, 1, "b"));
    ledger.apply(4, at(4000), change(Key, 0, "a"));
    cr_assert(ledger.verdict(Key, "a")->verdict == Wire::ChangeVerdict::Accepted);
    cr_assert_eq(revisionOf(ledger, Key), 2);
    cr_assert_eq(ledger.audit("", 10).size(), 2);
}

// Guards against a key that starts again at revision 1 after its removal, so that old changes would be accepted again.
Test(configledger, removalDoesNotResetTheRevision)
{
    ConfigLedger ledger(checkBody);
    ledger.setOldestOffset(1);
    ledger.apply(1, at(1000), change(Key, 0, "a"));
    ledger.apply(2, at(2000), change(Key, 1, "b", "", true));
    cr_assert_not(ledger.bodyInUse(Key));
    cr_assert(ledger.entry(Key)->removed);
    ledger.apply(3, at(3000), change(Key, 0, "c"));
    cr_assert(ledger.verdict(Key, "c")->verdict == Wire::ChangeVerdict::Conflict);
    ledger.apply(4, at(4000), change(Key, 2, "d", "again"));
    cr_assert_eq(ledger.bodyInUse(Key)->revision, 3);
    cr_assert_eq(ledger.bodyInUse(Key)->body, "again");
}

// Guards against readers of different versions that disagree on a verdict, and against a version without a contract.
Test(configledger, unusableBodyIsAcceptedButNotUsed)
{
    ConfigLedger ledger(checkBody);
    ledger.setOldestOffset(1);
    ledger.apply(1, at(1000), change(Key, 0, "a", "good"));
    ledger.apply(2, at(2000), change(Key, 1, "b", "bad"));
    cr_assert(ledger.verdict(Key, "b")->verdict == Wire::ChangeVerdict::Accepted);
    cr_assert_eq(ledger.entry(Key)->body, "bad");
    cr_assert_eq(ledger.bodyInUse(Key)->body, "good");
    cr_assert_eq(ledger.bodyInUse(Key)->revision, 1);
    cr_assert_eq(ledger.counters().unusableBodies, 1);
}

// Guards against invalid changes that reach the log.
Test(configledger, invalidChangesAreRefused)
{
    ConfigLedger ledger(checkBody);
    ledger.setOldestOffset(1);
    const auto fault = [&](const Wire::Record &record) { return ledger.validate(record.configChange).has_value(); };
    cr_assert_not(fault(change(Key, 0, "a")));
    cr_assert(fault(change("mtkvari", 0, "a")));
    cr_assert(fault(change("contract/", 0, "a")));
    cr_assert(fault(change("contract/a b", 0, "a")));
    cr_assert(fault(change("team/x", 0, "a")));
    cr_assert(fault(change(Key, 0, "")));
    cr_assert(fault(change(Key, -1, "a")));
    cr_assert(fault(change(Key, 0, "a", "bad")));
    cr_assert(fault(change(Key, 0, "a", "", true)));
    cr_assert(fault(change(Key, 0, "a", std::string(100'000, 'x'))));
    cr_assert_not(fault(change(Key, 3, "a", "bad", true)));
}

// Guards against a verdict that is given on a truncated log without a base.
Test(configledger, defersVerdictsUntilTheBaseIsKnown)
{
    ConfigLedger ledger(checkBody);
    ledger.setOldestOffset(50);
    ledger.apply(50, at(1000), change(Key, 3, "early"));
    ledger.apply(51, at(1000), change(Key, 4, "mid"));
    cr_assert_not(ledger.verdict(Key, "mid"));
    ledger.apply(52, at(2000), snapshot(Key, 4, 50));
    cr_assert(ledger.verdict(Key, "mid")->verdict == Wire::ChangeVerdict::Accepted);
    cr_assert_eq(revisionOf(ledger, Key), 5);
    ledger.settleAtHead();
    cr_assert(ledger.isComplete());
}

// Guards against a snapshot that is used as a base although changes between its read offset and the first visible
// offset expired.
Test(configledger, snapshotWithUnseenChangesIsProvisional)
{
    ConfigLedger ledger(checkBody);
    ledger.setOldestOffset(50);
    ledger.apply(50, at(1000), snapshot(Key, 3, 48));
    ledger.apply(51, at(1000), change(Key, 3, "a"));
    ledger.settleAtHead();
    cr_assert_not(ledger.isComplete());
    cr_assert_not(ledger.verdict(Key, "a"));
    cr_assert_eq(revisionOf(ledger, Key), 3);
    ledger.apply(52, at(2000), snapshot(Key, 4, 49));
    cr_assert(ledger.verdict(Key, "a")->verdict == Wire::ChangeVerdict::Conflict);
    cr_assert(ledger.isComplete());
    cr_assert_eq(revisionOf(ledger, Key), 4);
}

// Guards against an exact base that is not recognized: the writer had read everything that this reader can't see.
Test(configledger, snapshotOfEverythingUnseenIsABase)
{
    ConfigLedger ledger(checkBody);
    ledger.setOldestOffset(50);
    ledger.apply(50, at(1000), snapshot(Key, 3, 49));
    cr_assert(ledger.entry(Key).has_value());
    ledger.settleAtHead();
    cr_assert(ledger.isComplete());
}

// Guards against a new key that no reader of a truncated log ever accepts.
Test(configledger, keyWithoutSnapshotIsNewAtTheHead)
{
    ConfigLedger ledger(checkBody);
    ledger.setOldestOffset(50);
    ledger.apply(50, at(1000), change(Key, 0, "a"));
    cr_assert_eq(revisionOf(ledger, Key), 0);
    ledger.settleAtHead();
    cr_assert_eq(revisionOf(ledger, Key), 1);
    ledger.apply(51, at(1000), change("domain/east-a", 0, "b", "out"));
    cr_assert_eq(revisionOf(ledger, "domain/east-a"), 1);
}

// Guards against a late snapshot that reverts an accepted change.
Test(configledger, snapshotNeverLowersARevision)
{
    ConfigLedger ledger(checkBody);
    ledger.setOldestOffset(1);
    ledger.apply(1, at(1000), change(Key, 0, "a", "first"));
    ledger.apply(2, at(1000), change(Key, 1, "b", "second"));
    ledger.apply(3, at(1000), snapshot(Key, 1, 1, "first"));
    cr_assert_eq(ledger.entry(Key)->body, "second");
    cr_assert_eq(ledger.counters().contradictions, 0);
    ledger.apply(4, at(1000), snapshot(Key, 1, 3, "first"));
    cr_assert_eq(ledger.entry(Key)->body, "second");
    cr_assert_eq(ledger.counters().contradictions, 1);
    cr_assert_eq(ledger.dueKeys(at(1000), 10min).size(), 1);
}

// Guards against invalid values that stop a reader or overflow a revision.
Test(configledger, invalidRecordsAreCounted)
{
    ConfigLedger ledger(checkBody);
    ledger.setOldestOffset(1);
    ledger.apply(1, at(1000), snapshot(Key, 0, 0));
    ledger.apply(2, at(1000), snapshot(Key, 1, 2));
    ledger.apply(3, at(1000), snapshot(Key, std::numeric_limits<std::int64_t>::max(), 0));
    ledger.apply(4, at(1000), Wire::Record());
    cr_assert_eq(ledger.counters().invalidRecords, 4);
    cr_assert(ledger.entries().empty());
}

// Guards against a reader that keeps deciding on an old state after records expired unread.
Test(configledger, gapMakesTheStateProvisional)
{
    ConfigLedger ledger(checkBody);
    ledger.setOldestOffset(1);
    ledger.apply(1, at(1000), change(Key, 0, "a"));
    ledger.setOldestOffset(2);
    cr_assert(ledger.isComplete());
    ledger.setOldestOffset(10);
    cr_assert_not(ledger.isComplete());
    ledger.apply(10, at(1000), change(Key, 1, "b"));
    ledger.settleAtHead();
    cr_assert_not(ledger.verdict(Key, "b"));
    cr_assert_eq(revisionOf(ledger, Key), 1);
    ledger.apply(11, at(1000), snapshot(Key, 7, 10));
    cr_assert_eq(revisionOf(ledger, Key), 7);
    cr_assert_eq(ledger.counters().gaps, 1);
}

// Guards against a peer's state that lowers a revision or is applied twice.
Test(configledger, mergesAPeersState)
{
    ConfigLedger peer(checkBody);
    peer.setOldestOffset(1);
    peer.apply(1, at(1000), change(Key, 0, "a"));
    peer.apply(2, at(1000), change(Key, 1, "b"));
    ConfigLedger ledger(checkBody);
    ledger.mergePeerState(peer.entries(), 2);
    cr_assert(ledger.isComplete());
    cr_assert_eq(ledger.digest(), peer.digest());
    ledger.apply(1, at(1000), change(Key, 0, "a"));
    ledger.apply(2, at(1000), change(Key, 1, "b"));
    ledger.apply(3, at(1000), change(Key, 2, "c"));
    cr_assert_eq(revisionOf(ledger, Key), 3);
    ledger.mergePeerState(peer.entries(), 2);
    cr_assert_eq(revisionOf(ledger, Key), 3);
    cr_assert(ledger.verdict(Key, "b")->verdict == Wire::ChangeVerdict::Accepted);
}

// Guards against state that expires with its records, and against endless snapshots of a stream without changes.
Test(configledger, keysAreDueByTheAgeOfTheirBase)
{
    ConfigLedger ledger(checkBody);
    ledger.setOldestOffset(1);
    ledger.apply(1, at(1000), change(Key, 0, "a"));
    ledger.apply(2, at(9000), change(Key, 1, "b"));
    cr_assert(ledger.dueKeys(at(10'999), 10s).empty());
    // The second change is recent, but it is no base without the first one.
    cr_assert_eq(ledger.dueKeys(at(11'000), 10s).size(), 1);
    ledger.apply(3, at(50'000), ledger.snapshot(Key));
    cr_assert(ledger.dueKeys(at(59'999), 10s).empty());
    cr_assert_eq(ledger.dueKeys(at(60'000), 10s).size(), 1);
    ledger.advanceTo(7);
    cr_assert_eq(ledger.snapshot(Key).configSnapshot.readUpTo, 7);
}

// Guards against an audit trail that lacks refused changes, is out of order or grows without bound.
Test(configledger, auditIsBoundedAndOrdered)
{
    ConfigLedger ledger(checkBody);
    ledger.setOldestOffset(1);
    const std::string body(60'000, 'x');
    for (int i = 1; i <= 200; ++i) {
        ledger.apply(i, at(i), change(Key, i % 2 == 0 ? 0 : ledger.entry(Key) ? ledger.entry(Key)->revision : 0, "c" + std::to_string(i), body));
    }
    const auto entries = ledger.audit("contract/", 1000);
    cr_assert(entries.size() > 50 && entries.size() < 100);
    cr_assert_eq(entries[0].offset, 200);
    cr_assert(entries[0].verdict == Wire::ChangeVerdict::Conflict);
    cr_assert_eq(entries[1].toRevision, entries[1].fromRevision + 1);
    cr_assert_eq(ledger.audit("contract/", 3).size(), 3);
    cr_assert(ledger.audit("domain/", 3).empty());
}
