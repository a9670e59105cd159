#include <node/appendtimeoutpolicy.h>
#include <node/ownerappender.h>
#include <observability/metricsregistry.h>
#include <ports/metadatastore.h>
#include <ports/topicappend.h>
#include <support/coroutines.h>
#include <utils/clock.h>

#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <optional>
#include <vector>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

constexpr std::size_t RenewalBytes = 200;

/// Gives the results one after the other; an undetermined one takes as long as the timeout.
class ScriptedStore : public MetadataStore
{
public:
    asio::awaitable<TopicReadResult> read(Topic, std::int64_t, std::chrono::milliseconds) override { co_return Error{ErrorCode::Unavailable, "unused"}; }
    asio::awaitable<NewestRecordsResult> readNewest(Topic, std::string) override { co_return Error{ErrorCode::Unavailable, "unused"}; }
    asio::awaitable<TopicAppendResult> append(TopicAppend append, std::chrono::milliseconds timeout) override
    {
        const TopicAppendResult result = results.at(timeouts.size());
        timeouts.push_back(timeout);
        positions.push_back(append.position->sequence);
        co_await pauseFor(std::holds_alternative<TopicAppendUndetermined>(result) ? timeout : latency);
        co_return result;
    }

    std::vector<TopicAppendResult> results;
    std::vector<std::chrono::milliseconds> timeouts;
    std::vector<std::int64_t> positions;
    std::chrono::milliseconds latency{5};
};

struct Fixture
{
    Fixture() { appender.beginTerm(3, 1); }

    /// Appends a record and returns when it was sent at the earliest, according to the appender.
    Duration appendedAfterBegin()
    {
        const TimePoint begin = clock.now();
        std::optional<TimePoint> sentAt;
        appender.append({{0, "owner", "value"}}, [&](const TopicAppendResult &, TimePoint time) { sentAt = time; });
        while (!sentAt) {
            context.run_for(10ms);
        }
        return *sentAt - begin;
    }

    /// Appends a record and returns the time until the result.
    std::chrono::milliseconds appendTime()
    {
        const TimePoint begin = clock.now();
        appendedAfterBegin();
        return std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() - begin);
    }

    asio::io_context context{1};
    Clock clock;
    ScriptedStore store;
    MetricsRegistry metrics;
    OwnerAppender appender{context.get_executor(), clock, store, metrics, Topic::Jobs};
};

} // namespace

// Guards against a proof of the ownership as of the last attempt: an earlier one may have been executed, before another claim.
Test(ownerAppender, aRepeatedAppendWasSentWithItsFirstUndeterminedAttempt, .timeout = 30)
{
    Fixture fixture;
    fixture.store.results = {TopicAppendUndetermined{"timeout"}, TopicAppendRejected{"busy"}, TopicAppended{7}};
    cr_assert_lt(fixture.appendedAfterBegin().count(), Duration(200ms).count());
    cr_assert_eq(fixture.store.positions.size(), 3);
    cr_assert_eq(fixture.store.positions[2], 1);
}

// Guards against rejected attempts that make the proof older: they were not executed.
Test(ownerAppender, anAttemptAfterRejectionsCountsByItself, .timeout = 30)
{
    Fixture fixture;
    fixture.store.results = {TopicAppendRejected{"busy"}, TopicAppendRejected{"busy"}, TopicAppended{7}};
    cr_assert_gt(fixture.appendedAfterBegin().count(), Duration(100ms).count());
}

// Guards against accepted jobs without a run for more than the 3 s that callers were promised, because the intents of their runs are not durable.
Test(ownerAppender, threeLostResponsesDelayAnAppendWithinThePromiseToCallers, .timeout = 30)
{
    Fixture fixture;
    const TopicAppendUndetermined lost{"timeout"};
    fixture.store.results = {lost, lost, lost, TopicAppended{7}};
    const std::chrono::milliseconds time = fixture.appendTime();
    cr_assert_lt(time.count(), 3000, "durable after %lld ms", static_cast<long long>(time.count()));
}

// Guards against a single lost message that costs the ownership, see nodeDaemon/anAppendThatHangs….
Test(appendTimeoutPolicy, aRenewalIsRepeatedBeforeOthersClaim)
{
    const AppendTimeoutPolicy policy;
    cr_assert_leq(policy.timeout(RenewalBytes, 0).count(), 510);
}

// Guards against an append that is repeated for ever because each response is later than the timeout.
Test(appendTimeoutPolicy, repetitionsWaitLongerUpToABound)
{
    const AppendTimeoutPolicy policy;
    cr_assert_eq(policy.timeout(RenewalBytes, 1).count(), 1500);
    cr_assert_eq(policy.timeout(RenewalBytes, 1000).count(), 1500);
}

// Guards against needless repetitions while the store is slow or the link is full.
Test(appendTimeoutPolicy, slowStoresAndLargeAppendsGetMoreTime)
{
    AppendTimeoutPolicy policy;
    cr_assert_eq(policy.timeout(512 * 1024, 0).count(), 1500);
    cr_assert_geq(policy.timeout(16 * 1024, 0).count(), 1000);
    policy.recordLatency(700ms);
    cr_assert_geq(policy.timeout(RenewalBytes, 0).count(), 1400);
    policy.recordLatency(10ms);
    cr_assert_leq(policy.timeout(RenewalBytes, 0).count(), 510);
}
