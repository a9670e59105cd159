#include <node/hedgedreader.h>
#include <ports/metadatastore.h>
#include <ports/topicappend.h>
#include <support/coroutines.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <optional>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

// Beyond the wait of a read, as the client of the platform's store waits.
constexpr std::chrono::milliseconds ReadTimeout{1500};

/// Store without records, which responds after the same time to each read.
class SlowStore : public MetadataStore
{
public:
    asio::awaitable<TopicReadResult> read(Topic, std::int64_t, std::chrono::milliseconds wait) override
    {
        ++reads;
        mostOpenReads = std::max(mostOpenReads, ++openReads);
        const bool isLost = lostResponses > 0;
        lostResponses -= isLost ? 1 : 0;
        const bool isInTime = !isLost && responseTime < ReadTimeout;
        co_await pauseFor(wait + (isInTime ? responseTime : ReadTimeout));
        --openReads;
        if (!isInTime) {
            co_return Error{ErrorCode::Timeout, "timeout"};
        }
        co_return RecordPage();
    }

    asio::awaitable<NewestRecordsResult> readNewest(Topic, std::string) override { co_return NewestRecordsPage(); }
    asio::awaitable<TopicAppendResult> append(TopicAppend, std::chrono::milliseconds) override { co_return TopicAppendRejected{"read only"}; }

    std::chrono::milliseconds responseTime{2};
    int lostResponses = 0; // so many of the next reads get no response
    int reads = 0;
    int openReads = 0;
    int mostOpenReads = 0;
};

struct Fixture
{
    void beginRead(std::chrono::milliseconds wait)
    {
        isDone = false;
        response.reset();
        context.restart(); // it stops when nothing is left to do
        asio::co_spawn(context, read(wait), asio::detached);
    }

    void completeRead(std::chrono::milliseconds wait)
    {
        beginRead(wait);
        for (int step = 0; step < 1000 && !isDone; ++step) {
            context.run_for(5ms);
        }
        cr_assert(isDone);
    }

    asio::awaitable<void> read(std::chrono::milliseconds wait)
    {
        response = co_await reader->read(0, wait, [this] { return isWanted; });
        isDone = true;
    }

    asio::io_context context{1};
    Clock clock;
    SlowStore store;
    std::unique_ptr<HedgedReader> reader = std::make_unique<HedgedReader>(context.get_executor(), clock, store, Topic::Jobs);
    std::optional<HedgedReader::Response> response;
    bool isWanted = true;
    bool isDone = false;
};

} // namespace

// Guards against additional calls, which have a price, while nothing fails.
Test(hedgedReader, readsThatAreAnsweredInTimeAreNotRepeated, .timeout = 30)
{
    Fixture fixture;
    constexpr int Reads = 20;
    for (int read = 0; read < Reads; ++read) {
        fixture.completeRead(read % 2 == 0 ? 0ms : 50ms);
    }
    cr_assert_eq(fixture.store.reads, Reads);
}

// Guards against an age of the records that counts from the first read, although a repetition was answered.
Test(hedgedReader, aResponseToARepetitionHasItsTime, .timeout = 30)
{
    Fixture fixture;
    fixture.completeRead(0ms);
    fixture.store.lostResponses = 1;
    const TimePoint begin = fixture.clock.now();
    fixture.completeRead(100ms);
    cr_assert(fixture.response && std::holds_alternative<RecordPage>(fixture.response->result));
    cr_assert(fixture.response->sentAt - begin >= 300ms, "the time of the first read");
    cr_assert(fixture.clock.now() - begin < 1000ms);
}

// Guards against a burden on a store that has become slow: its late responses must end the repetitions.
Test(hedgedReader, readsOfASlowStoreAreNotRepeatedForLong, .timeout = 60)
{
    Fixture fixture;
    fixture.completeRead(0ms);
    fixture.store.responseTime = 600ms;
    for (int read = 0; read < 5; ++read) {
        fixture.completeRead(0ms);
    }
    fixture.store.reads = 0;
    constexpr int Reads = 10;
    for (int read = 0; read < Reads; ++read) {
        fixture.completeRead(0ms);
    }
    cr_assert_eq(fixture.store.reads, Reads);
}

// Guards against an unbounded number of reads, and of bytes that are read more than once, while a store is silent.
Test(hedgedReader, aSilentStoreHasThreeOpenReadsAtMost, .timeout = 60)
{
    Fixture fixture;
    fixture.completeRead(0ms);
    fixture.store.responseTime = ReadTimeout;
    for (int read = 0; read < 3; ++read) {
        fixture.completeRead(500ms);
        cr_assert(fixture.response && std::holds_alternative<Error>(fixture.response->result));
    }
    cr_assert_eq(fixture.store.mostOpenReads, 3);
    cr_assert_leq(fixture.store.reads, 1 + 3 * 4);
}

// Guards against reads of a topic that is paused, and against a resumption that waits for a lost response.
Test(hedgedReader, aReadThatIsNotWantedIsNotRepeated, .timeout = 30)
{
    Fixture fixture;
    fixture.completeRead(0ms);
    fixture.store.lostResponses = 1;
    fixture.beginRead(100ms);
    fixture.context.run_for(50ms);
    fixture.isWanted = false;
    fixture.context.run_for(150ms);
    cr_assert_not(fixture.isDone, "the response may still arrive");
    fixture.context.run_for(400ms);
    cr_assert(fixture.isDone);
    cr_assert_not(fixture.response.has_value());
    cr_assert_eq(fixture.store.reads, 2);
}

// Guards against a late response to an earlier call that counts as one to the current call.
Test(hedgedReader, aLateResponseToAnEarlierCallIsDiscarded, .timeout = 30)
{
    Fixture fixture;
    fixture.completeRead(0ms);
    fixture.store.lostResponses = 1;
    fixture.completeRead(0ms); // the first read ends with an error after its timeout
    fixture.beginRead(1800ms);
    fixture.context.run_for(1600ms);
    cr_assert_eq(fixture.store.openReads, 1, "the lost read has not ended");
    cr_assert_not(fixture.isDone);
    fixture.context.run_for(400ms);
    cr_assert(fixture.response && std::holds_alternative<RecordPage>(fixture.response->result));
}

// Guards against an access to a destroyed reader by a read that is still open.
Test(hedgedReader, openReadsMayOutliveTheReader, .timeout = 30)
{
    Fixture fixture;
    fixture.completeRead(0ms);
    fixture.store.lostResponses = 1;
    fixture.completeRead(0ms);
    cr_assert_eq(fixture.store.openReads, 1);
    fixture.reader.reset();
    fixture.context.run_for(2s);
    cr_assert_eq(fixture.store.openReads, 0);
}
