#include <node/topicfollower.h>
#include <ports/metadatastore.h>
#include <ports/topicappend.h>
#include <support/coroutines.h>

#include <criterion/criterion.h>

#include <map>
#include <stdexcept>
#include <vector>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

/// In-memory topic that returns at most two records per read and whose records can expire.
class SmallPageStore : public MetadataStore
{
public:
    asio::awaitable<TopicReadResult> read(Topic, std::int64_t from, std::chrono::milliseconds) override
    {
        ++reads;
        co_await pauseFor(1ms);
        while (isUnresponsive) {
            co_await pauseFor(10ms);
        }
        if (isDown) {
            co_return Error{ErrorCode::Unavailable, "down"};
        }
        if (from < first) {
            co_return RecordsExpired{};
        }
        RecordPage page;
        page.end = static_cast<std::int64_t>(records.size());
        for (std::int64_t offset = from; offset < page.end && offset < from + 2; ++offset) {
            page.records.push_back(records[static_cast<std::size_t>(offset)]);
        }
        co_return page;
    }

    asio::awaitable<NewestRecordsResult> readNewest(Topic, std::string afterKey) override
    {
        std::map<std::string, KeyedRecord> newestByKey;
        for (const KeyedRecord &record : records) {
            newestByKey[record.key] = record;
        }
        NewestRecordsPage page;
        page.end = static_cast<std::int64_t>(records.size());
        for (const auto &[key, record] : newestByKey) {
            if (key > afterKey && record.value) {
                page.records.push_back(record);
                page.more = true;
                break; // one record per page
            }
        }
        co_return page;
    }

    asio::awaitable<TopicAppendResult> append(TopicAppend, std::chrono::milliseconds) override { co_return TopicAppendRejected{"read only"}; }

    void put(const std::string &key, std::optional<std::string> value)
    {
        records.push_back({static_cast<std::int64_t>(records.size()), key, std::move(value)});
    }

    std::vector<KeyedRecord> records;
    std::int64_t first = 0;
    int reads = 0;
    bool isDown = false;
    bool isUnresponsive = false;
};

struct Fixture
{
    Fixture()
        : follower(context.get_executor(), clock, store, Topic::Jobs)
    {
        follower.setTiming({10ms, 0ms});
        follower.setHandlers(
            [this](const KeyedRecord &record) {
                if (record.value) {
                    values[record.key] = *record.value;
                } else {
                    values.erase(record.key);
                }
            },
            [this](TimePoint) { keysAtReads.push_back(values.size()); });
    }

    void run(std::chrono::milliseconds time)
    {
        if (!started) {
            started = true;
            asio::co_spawn(context, follower.run(), asio::detached);
        }
        context.run_for(time);
    }

    asio::io_context context{1};
    Clock clock;
    SmallPageStore store;
    TopicFollower follower;
    std::map<std::string, std::string> values;
    std::vector<std::size_t> keysAtReads; // number of known keys at each confirmed read
    bool started = false;
};

} // namespace

Test(topicFollower, loadsAllPagesAndFollows)
{
    Fixture fixture;
    fixture.store.put("a", "1");
    fixture.store.put("b", "2");
    fixture.store.put("a", "3");
    fixture.run(50ms);
    cr_assert_eq(fixture.values["a"], "3");
    cr_assert_eq(fixture.values["b"], "2");
    fixture.store.put("c", "4");
    fixture.run(50ms);
    cr_assert_eq(fixture.values["c"], "4");
}

Test(topicFollower, aTruncatedResponseIsNotConfirmed)
{
    Fixture fixture;
    fixture.run(50ms);
    const std::size_t before = fixture.keysAtReads.size();
    for (int index = 0; index < 9; ++index) {
        fixture.store.put("key" + std::to_string(index), "v");
    }
    fixture.run(100ms);
    cr_assert_eq(fixture.values.size(), 9);
    cr_assert_gt(fixture.keysAtReads.size(), before);
    for (std::size_t index = before; index < fixture.keysAtReads.size(); ++index) {
        const std::size_t known = fixture.keysAtReads[index];
        cr_assert(known == 0 || known == 9, "confirmed with %zu of 9 records", known);
    }
}

Test(topicFollower, keysRemovedWhileRecordsExpiredAreRemoved)
{
    Fixture fixture;
    fixture.store.put("a", "1");
    fixture.store.put("b", "2");
    fixture.run(50ms);
    fixture.store.isDown = true;
    fixture.run(50ms);
    fixture.store.put("a", std::nullopt);
    fixture.store.put("c", "3");
    fixture.store.first = 4;
    fixture.store.isDown = false;
    fixture.run(600ms);
    cr_assert_not(fixture.values.contains("a"));
    cr_assert_eq(fixture.values["c"], "3");
}

Test(topicFollower, isUnresponsiveWhenTheStoreFailsForLongerThanATransientFailure)
{
    Fixture fixture;
    cr_assert(!fixture.follower.isStoreResponsive(), "no response has been received yet");
    fixture.run(50ms);
    cr_assert(fixture.follower.isStoreResponsive());
    fixture.store.isDown = true;
    fixture.run(100ms);
    cr_assert(fixture.follower.isStoreResponsive(), "a single failure is considered transient");
    fixture.run(500ms);
    cr_assert(!fixture.follower.isStoreResponsive());
    fixture.store.isDown = false;
    fixture.run(400ms);
    cr_assert(fixture.follower.isStoreResponsive());
}

Test(topicFollower, isUnresponsiveWhenTheStoreDoesNotRespond)
{
    Fixture fixture;
    fixture.run(50ms);
    fixture.store.isUnresponsive = true;
    fixture.run(1s);
    cr_assert(fixture.follower.isStoreResponsive(), "a read may wait this long for records");
    fixture.run(700ms);
    cr_assert(!fixture.follower.isStoreResponsive());
}

Test(topicFollower, aRecordThatCannotBeAppliedDoesNotEndFollowing)
{
    Fixture fixture;
    int attempts = 0;
    fixture.follower.setHandlers(
        [&](const KeyedRecord &record) {
            if (record.key == "odd") {
                ++attempts;
                throw std::length_error("a value is too long");
            }
            fixture.values[record.key] = record.value.value_or("");
        },
        [&](TimePoint) { fixture.keysAtReads.push_back(fixture.values.size()); });
    fixture.store.put("a", "1");
    fixture.store.put("odd", "1");
    fixture.store.put("z", "1");
    fixture.run(100ms);
    cr_assert_eq(fixture.values.size(), 2, "loaded: %zu", fixture.values.size());
    fixture.store.put("odd", "2");
    fixture.store.put("z", "2");
    fixture.run(100ms);
    cr_assert_eq(fixture.values["z"], "2");
    cr_assert_eq(attempts, 2, "the record is not read again");
    cr_assert(fixture.follower.isStoreResponsive());
}
