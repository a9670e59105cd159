#include "memorystore.h"
#include "memorytopics.h"

#include <node/copiedrecordstore.h>
#include <node/recordcopier.h>
#include <node/recordcopy.h>
#include <ports/topicappend.h>
#include <support/coroutines.h>
#include <utils/clock.h>

#include <criterion/criterion.h>

#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

constexpr std::size_t QueueCount = 4200;
constexpr std::chrono::milliseconds FarDelay{40};
constexpr std::chrono::milliseconds NearDelay{0};
constexpr std::chrono::milliseconds ReadTimeout{1500}; // of the store's client

std::string largeConfiguration()
{
    std::string text;
    for (std::size_t queue = 0; queue < QueueCount; ++queue) {
        text += R"({"path":"/queue)" + std::to_string(queue * 7919 % 100003) + R"(/submit","deadlineMs":)" + std::to_string(queue % 97)
            + R"(,"attempts":3,"service":"dispatch","kind":"unsafe","retries":4,"priority":0,"class":"quote","method":"POST"},)";
    }
    return text;
}

/// Delays the responses of a store and counts the bytes of the records in them.
class DistantStore : public MetadataStore
{
public:
    DistantStore(MetadataStore &store, std::chrono::milliseconds delay)
        : m_store(store)
        , m_delay(delay)
    {
    }

    asio::awaitable<TopicReadResult> read(Topic topic, std::int64_t from, std::chrono::milliseconds wait) override
    {
        TopicReadResult result = co_await m_store.read(topic, from, wait);
        co_await pauseFor(m_delay);
        if (const auto *page = std::get_if<RecordPage>(&result)) {
            countBytes(topic, page->records);
        }
        co_return result;
    }

    asio::awaitable<NewestRecordsResult> readNewest(Topic topic, std::string afterKey) override
    {
        co_await pauseFor(m_delay);
        co_return co_await m_store.readNewest(topic, std::move(afterKey));
    }

    asio::awaitable<TopicAppendResult> append(TopicAppend append, std::chrono::milliseconds timeout) override
    {
        co_return co_await m_store.append(std::move(append), timeout);
    }

    std::map<Topic, std::size_t> bytes;

private:
    void countBytes(Topic topic, const std::vector<KeyedRecord> &records)
    {
        for (const KeyedRecord &record : records) {
            bytes[topic] += record.value ? record.value->size() : 0;
        }
    }

    MetadataStore &m_store;
    std::chrono::milliseconds m_delay;
};

/// Executes appends, but can lose their responses or fail with an exception; can delay the responses to reads.
class FaultyStore : public MetadataStore
{
public:
    explicit FaultyStore(MetadataStore &store)
        : m_store(store)
    {
    }

    asio::awaitable<TopicReadResult> read(Topic topic, std::int64_t from, std::chrono::milliseconds wait) override
    {
        if (topic == unresponsiveTopic) {
            co_await pauseFor(ReadTimeout);
            co_return Error{ErrorCode::Unavailable, "down"};
        }
        TopicReadResult result = co_await m_store.read(topic, from, wait);
        co_await pauseFor(readDelay);
        co_return result;
    }

    asio::awaitable<NewestRecordsResult> readNewest(Topic topic, std::string afterKey) override
    {
        co_return co_await m_store.readNewest(topic, std::move(afterKey));
    }

    asio::awaitable<TopicAppendResult> append(TopicAppend append, std::chrono::milliseconds timeout) override
    {
        if (std::exchange(throwsOnce, false)) {
            throw std::runtime_error("append failed");
        }
        TopicAppendResult result = co_await m_store.append(std::move(append), timeout);
        if (losesResponses) {
            result = TopicAppendUndetermined{"timeout"};
        }
        co_return result;
    }

    std::chrono::milliseconds readDelay{0};
    std::optional<Topic> unresponsiveTopic;
    bool losesResponses = false;
    bool throwsOnce = false;

private:
    MetadataStore &m_store;
};

struct Fixture
{
    explicit Fixture(std::chrono::milliseconds delay)
        : distant(memory, delay)
        , store(distant, clock)
        , copier(context.get_executor(), memory, 1)
    {
    }

    /// Appends a record as the operators do.
    KeyedRecord put(const std::string &key, std::optional<std::string> value)
    {
        topics.put(Topic::Operators, key, value);
        return {nextOffset++, key, std::move(value)};
    }

    /// Reads records from @p from on as a follower does, until there are some.
    asio::awaitable<RecordPage> readRecords(std::int64_t from)
    {
        while (true) {
            const TopicReadResult result = co_await store.read(Topic::Operators, from, 1000ms);
            const auto *page = std::get_if<RecordPage>(&result);
            cr_assert_not_null(page);
            if (!page->records.empty()) {
                co_return *page;
            }
        }
    }

    /// Lets the store measure the distance, which precedes the first record in a running installation.
    asio::awaitable<void> begin()
    {
        co_await store.read(Topic::Operators, nextOffset, 0ms);
        co_await pauseFor(4 * FarDelay);
    }

    /// Returns how many copies the store has.
    std::size_t copies() const
    {
        const TopicReadResult result = topics.read(Topic::OperatorCopies, 0);
        return static_cast<std::size_t>(std::get<RecordPage>(result).end);
    }

    asio::io_context context{1};
    Clock clock;
    MemoryTopics topics;
    MemoryStore memory{topics};
    DistantStore distant;
    CopiedRecordStore store;
    RecordCopier copier;
    std::int64_t nextOffset = 0;
};

asio::awaitable<void> farInstancesDoNotTransferLargeRecordsSteps(Fixture &f)
{
    co_await f.begin();
    const KeyedRecord record = f.put("config", largeConfiguration());
    f.copier.publish(record);
    const RecordPage page = co_await f.readRecords(0);
    cr_assert_eq(page.records.size(), 1);
    cr_assert_eq(page.records[0].offset, record.offset);
    cr_assert(page.records[0].key == record.key);
    cr_assert(page.records[0].value == record.value);
    cr_assert_eq(page.end, 1);
    const std::size_t received = f.distant.bytes[Topic::Operators] + f.distant.bytes[Topic::OperatorCopies];
    cr_assert_lt(received, record.value->size() / 4, "%zu bytes received of a record of %zu", received, record.value->size());
}

asio::awaitable<void> aRecordWithoutCopyIsReadItselfSoonSteps(Fixture &f)
{
    co_await f.begin();
    f.put("config", "1");
    const TimePoint begin = f.clock.now();
    const RecordPage page = co_await f.readRecords(0);
    const Duration time = f.clock.now() - begin;
    cr_assert(page.records[0].value == "1");
    // The shortest time in which a change must be applied is 2.5 s.
    cr_assert_lt(time.count(), Duration(1500ms).count());
}

asio::awaitable<void> nearInstancesReadRecordsThemselvesSteps(Fixture &f)
{
    co_await f.begin();
    f.put("config", "1");
    const RecordPage page = co_await f.readRecords(0);
    cr_assert(page.records[0].value == "1");
    cr_assert_eq(f.memory.reads(Topic::OperatorCopies), 3, "only the distance is measured");
}

asio::awaitable<void> theOwnerDoesNotWaitForCopiesSteps(Fixture &f)
{
    co_await f.begin();
    f.store.setOwnerCondition([] { return true; });
    f.put("config", "1");
    const TimePoint begin = f.clock.now();
    co_await f.readRecords(0);
    cr_assert_lt((f.clock.now() - begin).count(), Duration(500ms).count());
}

asio::awaitable<void> damagedCopiesAreSkippedSteps(Fixture &f)
{
    co_await f.begin();
    const KeyedRecord record = f.put("config", "1");
    KeyedRecord truncated = encodeRecordCopy(record);
    truncated.value->pop_back();
    f.topics.put(Topic::OperatorCopies, "config", *truncated.value);
    f.topics.put(Topic::OperatorCopies, "config", "x");
    f.topics.put(Topic::OperatorCopies, "config", std::nullopt);
    const RecordPage page = co_await f.readRecords(0);
    cr_assert(page.records[0].value == "1");
}

asio::awaitable<void> removalsAndSeveralRecordsAreCopiedInOrderSteps(Fixture &f)
{
    co_await f.begin();
    f.copier.publish(f.put("config", "1"));
    f.copier.publish(f.put("evacuate", "x"));
    f.copier.publish(f.put("evacuate", std::nullopt));
    std::vector<KeyedRecord> records;
    while (records.size() < 3) {
        const RecordPage page = co_await f.readRecords(static_cast<std::int64_t>(records.size()));
        records.insert(records.end(), page.records.begin(), page.records.end());
    }
    cr_assert(records[0].value == "1");
    cr_assert(records[1].value == "x");
    cr_assert_not(records[2].value.has_value());
    cr_assert_eq(f.distant.bytes[Topic::Operators], 0);
}

asio::awaitable<void> copiesAreFoundAfterTheirHistoryExpiredSteps(Fixture &f)
{
    co_await f.begin();
    f.copier.publish(f.put("config", "1"));
    f.copier.publish(f.put("config", "2"));
    co_await pauseFor(100ms);
    f.topics.dropHistory(Topic::OperatorCopies);
    const RecordPage page = co_await f.readRecords(1);
    cr_assert(page.records[0].value == "2");
    cr_assert_eq(f.distant.bytes[Topic::Operators], 0);
}

asio::awaitable<void> aCopyThatTheStoreRejectsIsRepeatedSteps(Fixture &f)
{
    co_await f.begin();
    f.memory.losesAppends = true;
    f.copier.publish(f.put("config", "1"));
    co_await pauseFor(50ms);
    f.memory.losesAppends = false;
    co_await f.readRecords(0);
    cr_assert_eq(f.distant.bytes[Topic::Operators], 0);
}

asio::awaitable<void> severalInstancesWriteOneCopySteps(Fixture &f)
{
    co_await f.begin();
    RecordCopier second(f.context.get_executor(), f.memory, 1);
    RecordCopier late(f.context.get_executor(), f.memory, 0.1);
    for (const char *value : {"1", "2", "3"}) {
        const KeyedRecord record = f.put("config", value);
        f.copier.publish(record);
        second.publish(record);
        late.publish(record);
        co_await pauseFor(50ms);
    }
    co_await pauseFor(1500ms);
    const TopicReadResult copies = f.topics.read(Topic::OperatorCopies, 0);
    cr_assert_eq(std::get<RecordPage>(copies).end, 3);
}

asio::awaitable<void> unreadableCopiesDoNotDelayRecordsSteps(Fixture &f)
{
    co_await f.begin();
    f.memory.failingTopic = Topic::OperatorCopies;
    f.put("config", "1");
    const TimePoint begin = f.clock.now();
    co_await f.readRecords(0);
    cr_assert_lt((f.clock.now() - begin).count(), Duration(1500ms).count());
}

asio::awaitable<void> aRecordAfterLostResponsesIsCopiedSteps(Fixture &f)
{
    FaultyStore faulty(f.memory);
    RecordCopier copier(f.context.get_executor(), faulty, 1);
    copier.publish(f.put("config", "1"));
    co_await pauseFor(300ms);
    faulty.losesResponses = true;
    copier.publish(f.put("config", "2"));
    co_await pauseFor(1000ms);
    faulty.losesResponses = false;
    copier.publish(f.put("config", "3"));
    co_await pauseFor(500ms);
    cr_assert_eq(f.copies(), 3, "%zu copies of 3 records", f.copies());
}

asio::awaitable<void> recordsAfterAnExceptionAreCopiedSteps(Fixture &f)
{
    FaultyStore faulty(f.memory);
    faulty.throwsOnce = true;
    RecordCopier copier(f.context.get_executor(), faulty, 1);
    copier.publish(f.put("config", "1"));
    copier.publish(f.put("config", "2"));
    co_await pauseFor(300ms);
    cr_expect_eq(f.copies(), 1, "%zu copies of the record that waited", f.copies());
    copier.publish(f.put("config", "3"));
    co_await pauseFor(300ms);
    cr_assert_eq(f.copies(), 2, "%zu copies of the records after the exception", f.copies());
}

asio::awaitable<void> aBusyStartDoesNotMakeAnInstanceFarForGoodSteps(Fixture &f)
{
    FaultyStore faulty(f.memory);
    CopiedRecordStore store(faulty, f.clock);
    faulty.readDelay = FarDelay;
    co_await store.read(Topic::Operators, 0, 0ms);
    co_await pauseFor(4 * FarDelay);
    cr_assert_not(store.isNear());
    faulty.readDelay = 0ms;
    f.clock.pause();
    f.clock.advance(5s);
    f.clock.resume();
    co_await store.read(Topic::Operators, 0, 0ms);
    co_await pauseFor(100ms);
    cr_assert(store.isNear(), "a near instance remains far");
    faulty.readDelay = FarDelay;
    f.clock.pause();
    f.clock.advance(5s);
    f.clock.resume();
    co_await store.read(Topic::Operators, 0, 0ms);
    co_await pauseFor(4 * FarDelay);
    cr_assert(store.isNear(), "a longer time replaces a shorter one");
}

asio::awaitable<void> aFailingMeasurementDoesNotDelayRecordsSteps(Fixture &f)
{
    FaultyStore faulty(f.memory);
    CopiedRecordStore store(faulty, f.clock);
    faulty.unresponsiveTopic = Topic::OperatorCopies;
    f.put("config", "1");
    const TimePoint begin = f.clock.now();
    const TopicReadResult result = co_await store.read(Topic::Operators, 0, 0ms);
    const auto time = std::chrono::floor<std::chrono::milliseconds>(f.clock.now() - begin);
    cr_assert_eq(std::get<RecordPage>(result).records.size(), 1);
    cr_assert_lt(time.count(), 500, "read after %lld ms", static_cast<long long>(time.count()));
}

asio::awaitable<void> severalRecordsWithoutCopiesCostOneWaitSteps(Fixture &f)
{
    co_await f.begin();
    for (const char *value : {"1", "2", "3", "4", "5"}) {
        f.put("config", value);
    }
    const TimePoint begin = f.clock.now();
    std::vector<KeyedRecord> records;
    while (records.size() < 5) {
        const RecordPage page = co_await f.readRecords(static_cast<std::int64_t>(records.size()));
        records.insert(records.end(), page.records.begin(), page.records.end());
    }
    const auto time = std::chrono::floor<std::chrono::milliseconds>(f.clock.now() - begin);
    cr_assert(records[4].value == "5");
    cr_assert_lt(time.count(), 2000, "5 records after %lld ms", static_cast<long long>(time.count()));
    f.copier.publish(f.put("config", "6"));
    f.distant.bytes.clear();
    co_await f.readRecords(5);
    cr_assert_eq(f.distant.bytes[Topic::Operators], 0, "later copies are not read");
}

asio::awaitable<void> copiesFarFromTheRecordsAreNotKeptSteps(Fixture &f)
{
    constexpr std::int64_t LastRecord = 20;
    co_await f.begin();
    const KeyedRecord first = f.put("config", "0");
    f.topics.put(Topic::OperatorCopies, "config", encodeRecordCopy(first).value);
    const KeyedRecord invented{LastRecord, "config", "invented"};
    f.topics.put(Topic::OperatorCopies, "config", encodeRecordCopy(invented).value);
    co_await f.readRecords(0);
    while (f.nextOffset < LastRecord) {
        const KeyedRecord record = f.put("config", std::to_string(f.nextOffset));
        f.topics.put(Topic::OperatorCopies, "config", encodeRecordCopy(record).value);
    }
    std::int64_t next = 1;
    while (next < LastRecord) {
        const RecordPage page = co_await f.readRecords(next);
        next += static_cast<std::int64_t>(page.records.size());
    }
    f.put("config", "last");
    const RecordPage page = co_await f.readRecords(LastRecord);
    cr_assert(page.records[0].value == "last", "%s", page.records[0].value.value_or("").c_str());
}

} // namespace

Test(copiedRecordStore, farInstancesDoNotTransferLargeRecords, .timeout = 30)
{
    Fixture fixture(FarDelay);
    runToEnd(fixture.context, farInstancesDoNotTransferLargeRecordsSteps(fixture));
}

Test(copiedRecordStore, aRecordWithoutCopyIsReadItselfSoon, .timeout = 30)
{
    Fixture fixture(FarDelay);
    runToEnd(fixture.context, aRecordWithoutCopyIsReadItselfSoonSteps(fixture));
}

Test(copiedRecordStore, nearInstancesReadRecordsThemselves, .timeout = 30)
{
    Fixture fixture(NearDelay);
    runToEnd(fixture.context, nearInstancesReadRecordsThemselvesSteps(fixture));
}

Test(copiedRecordStore, theOwnerDoesNotWaitForCopies, .timeout = 30)
{
    Fixture fixture(FarDelay);
    runToEnd(fixture.context, theOwnerDoesNotWaitForCopiesSteps(fixture));
}

Test(copiedRecordStore, damagedCopiesAreSkipped, .timeout = 30)
{
    Fixture fixture(FarDelay);
    runToEnd(fixture.context, damagedCopiesAreSkippedSteps(fixture));
}

Test(copiedRecordStore, removalsAndSeveralRecordsAreCopiedInOrder, .timeout = 30)
{
    Fixture fixture(FarDelay);
    runToEnd(fixture.context, removalsAndSeveralRecordsAreCopiedInOrderSteps(fixture));
}

Test(copiedRecordStore, copiesAreFoundAfterTheirHistoryExpired, .timeout = 30)
{
    Fixture fixture(FarDelay);
    runToEnd(fixture.context, copiesAreFoundAfterTheirHistoryExpiredSteps(fixture));
}

Test(copiedRecordStore, aCopyThatTheStoreRejectsIsRepeated, .timeout = 30)
{
    Fixture fixture(FarDelay);
    runToEnd(fixture.context, aCopyThatTheStoreRejectsIsRepeatedSteps(fixture));
}

Test(copiedRecordStore, unreadableCopiesDoNotDelayRecords, .timeout = 30)
{
    Fixture fixture(FarDelay);
    runToEnd(fixture.context, unreadableCopiesDoNotDelayRecordsSteps(fixture));
}

Test(copiedRecordStore, severalInstancesWriteOneCopy, .timeout = 30)
{
    Fixture fixture(FarDelay);
    runToEnd(fixture.context, severalInstancesWriteOneCopySteps(fixture));
}

Test(copiedRecordStore, aRecordAfterLostResponsesIsCopied, .timeout = 30)
{
    Fixture fixture(NearDelay);
    runToEnd(fixture.context, aRecordAfterLostResponsesIsCopiedSteps(fixture));
}

Test(copiedRecordStore, recordsAfterAnExceptionAreCopied, .timeout = 30)
{
    Fixture fixture(NearDelay);
    runToEnd(fixture.context, recordsAfterAnExceptionAreCopiedSteps(fixture));
}

Test(copiedRecordStore, aBusyStartDoesNotMakeAnInstanceFarForGood, .timeout = 30)
{
    Fixture fixture(NearDelay);
    runToEnd(fixture.context, aBusyStartDoesNotMakeAnInstanceFarForGoodSteps(fixture));
}

Test(copiedRecordStore, aFailingMeasurementDoesNotDelayRecords, .timeout = 30)
{
    Fixture fixture(NearDelay);
    runToEnd(fixture.context, aFailingMeasurementDoesNotDelayRecordsSteps(fixture));
}

Test(copiedRecordStore, severalRecordsWithoutCopiesCostOneWait, .timeout = 30)
{
    Fixture fixture(FarDelay);
    runToEnd(fixture.context, severalRecordsWithoutCopiesCostOneWaitSteps(fixture));
}

Test(copiedRecordStore, copiesFarFromTheRecordsAreNotKept, .timeout = 30)
{
    Fixture fixture(FarDelay);
    runToEnd(fixture.context, copiesFarFromTheRecordsAreNotKeptSteps(fixture));
}
