#include <node/observedstore.h>
#include <observability/metricsregistry.h>
#include <ports/topicappend.h>
#include <support/coroutines.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

/// Returns the given results.
class FixedStore : public MetadataStore
{
public:
    asio::awaitable<TopicReadResult> read(Topic, std::int64_t, std::chrono::milliseconds) override { co_return readResult; }
    asio::awaitable<NewestRecordsResult> readNewest(Topic, std::string) override { co_return newestResult; }
    asio::awaitable<TopicAppendResult> append(TopicAppend, std::chrono::milliseconds) override { co_return TopicAppended{7}; }

    TopicReadResult readResult;
    NewestRecordsResult newestResult;
};

struct Fixture
{
    double reads(const std::string &outcome) const { return metrics.value("hyssop_topic_reads_total", {{"topic", "operators"}, {"outcome", outcome}}); }

    asio::io_context context{1};
    Clock clock;
    MetricsRegistry metrics;
    FixedStore fixed;
    ObservedStore store{fixed, clock, metrics};
};

asio::awaitable<void> readsAreCountedWithTheirBytesSteps(Fixture &f)
{
    f.fixed.readResult = RecordPage{{{3, "config", std::string(500 * 1024, 'x')}}, 4};
    const TopicReadResult read = co_await f.store.read(Topic::Operators, 3, 1s);
    cr_assert_eq(std::get<RecordPage>(read).end, 4);
    f.fixed.newestResult = NewestRecordsPage{{{0, "a", "1"}, {1, "b", std::nullopt}}, 2, false};
    const NewestRecordsResult newest = co_await f.store.readNewest(Topic::Operators, "");
    cr_assert_eq(std::get<NewestRecordsPage>(newest).records.size(), 2);
    cr_assert_eq(f.reads("records"), 2);
    cr_assert_eq(f.metrics.value("hyssop_topic_read_bytes_total", {{"topic", "operators"}}), 500 * 1024 + 6 + 3);
    cr_assert(f.metrics.toPrometheusText().find("hyssop_topic_read_seconds_count{topic=\"operators\"} 2") != std::string::npos);
}

asio::awaitable<void> readsWithoutRecordsAreCountedByOutcomeSteps(Fixture &f)
{
    f.fixed.readResult = RecordPage{};
    co_await f.store.read(Topic::Operators, 0, 1s);
    f.fixed.readResult = RecordsExpired{};
    co_await f.store.read(Topic::Operators, 0, 1s);
    f.fixed.readResult = Error{ErrorCode::Timeout, "timeout"};
    const TopicReadResult failed = co_await f.store.read(Topic::Operators, 0, 1s);
    cr_assert_eq(std::get<Error>(failed).message, "timeout");
    f.fixed.newestResult = Error{ErrorCode::Timeout, "timeout"};
    co_await f.store.readNewest(Topic::Operators, "");
    cr_assert_eq(f.reads("empty"), 1);
    cr_assert_eq(f.reads("expired"), 1);
    cr_assert_eq(f.reads("failed"), 2);
    cr_assert_eq(f.reads("records"), 0);
    const TopicAppendResult appended = co_await f.store.append({}, 1s);
    cr_assert_eq(std::get<TopicAppended>(appended).offset, 7);
}

} // namespace

Test(observedStore, readsAreCountedWithTheirBytes)
{
    Fixture fixture;
    runToEnd(fixture.context, readsAreCountedWithTheirBytesSteps(fixture));
}

Test(observedStore, readsWithoutRecordsAreCountedByOutcome)
{
    Fixture fixture;
    runToEnd(fixture.context, readsWithoutRecordsAreCountedByOutcomeSteps(fixture));
}
