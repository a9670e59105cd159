#include <node/topicfollower.h>
#include <ports/metadatastore.h>
#include <ports/topicappend.h>
#include <support/coroutines.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <stdexcept>
#include <vector>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

// Beyond the wait of a read, as the client of the platform's store waits.
constexpr std::chrono::milliseconds ReadTimeout{1500};

/// In-memory topic that returns at most two records per read and whose records can expire.
class SmallPageStore : public MetadataStore
{
public:
    asio::awaitable<TopicReadResult> read(Topic, std::int64_t from, std::chrono::milliseconds wait) override
    {
        ++reads;
        beginCall();
        if (lostResponses > 0) {
            --lostResponses;
            co_await pauseFor(wait + ReadTimeout);
            --openCalls;
            co_return Error{ErrorCode::Timeout, "timeout"};
        }
        co_await pauseFor(1ms);
        while (isUnresponsive) {
            co_await pauseFor(10ms);
        }
        --openCalls;
        if (isDown) {
            co_return Error{ErrorCode::Unavailable, "down"};
        }
        if (from < first) {
            co_return RecordsExpired{};
        }
        for (int record = 0; record < growth; ++record) {
            put("growing", std::to_string(records.size()));
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
        beginCall();
        co_await pauseFor(pageTime);
        --openCalls;
        ++newestReads;
        if (failedNewestInterval > 0 && newestReads % failedNewestInterval == 0) {
            co_return Error{ErrorCode::Timeout, "timeout"};
        }
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

    void beginCall() { mostCallsAtOnce = std::max(mostCallsAtOnce, ++openCalls); }

    std::vector<KeyedRecord> records;
    std::int64_t first = 0;
    std::chrono::milliseconds pageTime{0};
    int reads = 0;
    int newestReads = 0;
    int growth = 0; // records that are added before each read
    int failedNewestInterval = 0; // each read of newest records with a multiple of this number fails
    int openCalls = 0;
    int mostCallsAtOnce = 0;
    bool isDown = false;
    bool isUnresponsive = false;
    int lostResponses = 0; // so many of the next reads get no response
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

    /// Lets the responses to the next reads be lost, adds a record when the first of them has been sent, and returns the time until it is read.
    std::chrono::milliseconds readTimeAfterLostResponses(int responses)
    {
        run(50ms);
        store.lostResponses = responses;
        while (store.lostResponses == responses) {
            run(10ms);
        }
        store.put("record", "1");
        const TimePoint begin = clock.now();
        while (!values.contains("record")) {
            run(10ms);
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() - begin);
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

Test(topicFollower, readsOfATopicThatGrowsAsFastAsItIsReadAreConfirmed)
{
    Fixture fixture;
    fixture.store.put("a", "1");
    fixture.run(50ms);
    for (int record = 0; record < 10; ++record) {
        fixture.store.put("backlog", std::to_string(record));
    }
    fixture.store.growth = 2; // as many as a response contains
    fixture.keysAtReads.clear();
    fixture.run(200ms);
    cr_assert_not(fixture.keysAtReads.empty(), "no read is confirmed while records come as fast as they are read");
    fixture.store.put("b", "2");
    fixture.run(200ms);
    cr_assert_geq(fixture.keysAtReads.back(), 4);
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

Test(topicFollower, aFailedPageDoesNotRestartTheLoading)
{
    constexpr int Keys = 5;
    constexpr int FailedReads = 2;
    Fixture fixture;
    for (int index = 0; index < Keys; ++index) {
        fixture.store.put("key" + std::to_string(index), "v");
    }
    fixture.store.failedNewestInterval = 3;
    fixture.run(2s);
    cr_assert(fixture.follower.isLoaded(), "pages that had arrived were requested again");
    cr_assert_eq(fixture.values.size(), Keys);
    cr_assert_eq(fixture.store.newestReads, Keys + 1 + FailedReads, "each page is requested once, and the failed ones again");
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

Test(topicFollower, aPausedFollowerRemovesItsKeysAndDoesNotRead)
{
    Fixture fixture;
    fixture.store.put("a", "1");
    fixture.run(50ms);
    cr_assert_eq(fixture.values.size(), 1);
    fixture.follower.pause();
    cr_assert(fixture.values.empty());
    cr_assert_not(fixture.follower.isLoaded());
    fixture.run(50ms);
    const int reads = fixture.store.reads;
    fixture.store.put("b", "2");
    fixture.run(100ms);
    cr_assert_eq(fixture.store.reads, reads);
    cr_assert(fixture.values.empty());
}

Test(topicFollower, aResponseToAReadBeforeThePauseIsNotApplied)
{
    Fixture fixture;
    fixture.run(50ms);
    fixture.store.isUnresponsive = true;
    fixture.run(50ms);
    fixture.store.put("a", "1");
    fixture.follower.pause();
    fixture.store.isUnresponsive = false;
    fixture.run(50ms);
    cr_assert(fixture.values.empty());
}

Test(topicFollower, pauseAndResumeDuringAReadNeverLeaveTwoReaders)
{
    Fixture fixture;
    fixture.store.put("a", "1");
    fixture.store.put("b", "2");
    fixture.run(50ms);
    fixture.store.isUnresponsive = true;
    fixture.run(50ms);
    for (int round = 0; round < 3; ++round) {
        fixture.follower.pause();
        fixture.run(20ms);
        fixture.follower.resume();
        fixture.run(20ms);
    }
    fixture.store.put("a", std::nullopt);
    fixture.store.put("c", "3");
    fixture.store.isUnresponsive = false;
    fixture.run(100ms);
    cr_assert_eq(fixture.store.mostCallsAtOnce, 1);
    cr_assert_not(fixture.values.contains("a"));
    cr_assert_eq(fixture.values.size(), 2);
    fixture.store.put("d", "4");
    fixture.run(50ms);
    cr_assert(fixture.values.contains("d"));
}

Test(topicFollower, aLoadBeforeThePauseIsNotContinued)
{
    Fixture fixture;
    for (int index = 0; index < 5; ++index) {
        fixture.store.put("key" + std::to_string(index), "v");
    }
    fixture.store.pageTime = 20ms;
    fixture.run(50ms);
    cr_assert(!fixture.values.empty() && fixture.values.size() < 5, "the load is not in progress");
    fixture.follower.pause();
    fixture.run(10ms);
    fixture.follower.resume();
    fixture.store.put("key0", std::nullopt);
    fixture.run(300ms);
    cr_assert_eq(fixture.values.size(), 4);
    cr_assert_not(fixture.values.contains("key0"));
    cr_assert_eq(fixture.store.mostCallsAtOnce, 1);
    cr_assert(fixture.keysAtReads.front() == 4, "confirmed with %zu keys", fixture.keysAtReads.front());
}

Test(topicFollower, aResumedFollowerLoadsWithoutDelay)
{
    Fixture fixture;
    fixture.follower.setTiming({10s, 0ms});
    fixture.store.put("a", "1");
    fixture.run(50ms);
    fixture.follower.pause();
    fixture.run(50ms);
    fixture.follower.resume();
    fixture.run(50ms);
    cr_assert_eq(fixture.values.size(), 1);
    fixture.follower.pause();
    fixture.follower.resume();
    fixture.run(50ms);
    cr_assert_eq(fixture.values.size(), 1);
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

// Guards against accepted jobs and cancellations that an instance does not know for more than the promised 3 s, because it reads again only
// after the whole timeout.
Test(topicFollower, aRecordIsReadInTimeAfterTwoLostResponses, .timeout = 30)
{
    Fixture fixture;
    fixture.follower.setTiming({250ms, 500ms});
    const std::chrono::milliseconds time = fixture.readTimeAfterLostResponses(2);
    cr_assert_lt(time.count(), 3000, "read after %lld ms", static_cast<long long>(time.count()));
}

// Guards against a configuration that is applied later than the 2.5 s that the platform permits, because one response was lost.
Test(topicFollower, aConfigurationIsReadInTimeAfterALostResponse, .timeout = 30)
{
    Fixture fixture;
    fixture.follower.setTiming({50ms, 1000ms});
    const std::chrono::milliseconds time = fixture.readTimeAfterLostResponses(1);
    cr_assert_lt(time.count(), 2500, "read after %lld ms", static_cast<long long>(time.count()));
}
