#include <jobendpoint.h>
#include <recorddecoder.h>

#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <node/clusterview.h>
#include <node/topicfollower.h>
#include <observability/metricsregistry.h>
#include <ports/metadatastore.h>
#include <ports/topicappend.h>
#include <support/coroutines.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Empty topic whose appends take a while and succeed.
class SlowStore : public MetadataStore
{
public:
    asio::awaitable<TopicReadResult> read(Topic, std::int64_t, std::chrono::milliseconds) override
    {
        co_await pauseFor(1ms);
        co_return RecordPage{};
    }

    asio::awaitable<NewestRecordsResult> readNewest(Topic, std::string) override { co_return NewestRecordsPage{}; }

    asio::awaitable<TopicAppendResult> append(TopicAppend append, std::chrono::milliseconds) override
    {
        co_await pauseFor(50ms);
        keys.push_back(append.records.front().key);
        co_return TopicAppended{static_cast<std::int64_t>(keys.size()) - 1};
    }

    std::vector<std::string> keys;
};

struct Fixture
{
    Fixture()
    {
        cluster.applyOperatorRecord({0, "config", R"({"version":1,"routes":[{"name":"q","host":"h","pathPrefix":"/p/","service":"s"}]})"});
        follower.setTiming({10ms, 0ms});
        follower.setHandlers([](const KeyedRecord &) {}, [](TimePoint) {});
        asio::co_spawn(context, follower.run(), asio::detached);
        asio::co_spawn(context, intake.run(), asio::detached);
        context.run_for(30ms);
    }

    http::status submit(const std::string &jobId, const std::string &timeout = {})
    {
        HttpRequest request(http::verb::post, "/p/" + jobId, 11);
        request.set(http::field::host, "h");
        request.body() = R"({"spec":"s","steps":[{"count":1}]})";
        if (!timeout.empty()) {
            request.set("X-Hyssopferry-Request-Deadline", timeout);
        }
        return respond(request).result();
    }

    HttpResponse submitServing(const std::string &jobId)
    {
        HttpRequest request(http::verb::post, "/p/" + jobId, 11);
        request.set(http::field::host, "h");
        request.body() = R"({"spec":"s","steps":[{"count":2,"cpu":1000,"longRunning":true}]})";
        return respond(request);
    }

    HttpResponse respond(const HttpRequest &request)
    {
        HttpResponse response;
        runToEnd(context, [&]() -> asio::awaitable<void> { response = co_await endpoint.handle(request); }());
        return response;
    }

    /// Lets an owner publish @p milliCores as the room for serving tasks of the queue.
    void publishRoom(std::int64_t milliCores)
    {
        Wire::TopicClaim claim;
        claim.term = 1;
        table.apply({0, claimKey(), encode(claim)});
        Wire::ServingRoom room;
        room.term = 1;
        room.pools.resize(1);
        room.pools[0].workerPool = "s";
        room.pools[0].milliCores = milliCores;
        intake.jobRecordApplied(table.apply({1, servingRoomKey(), encode(room)}));
    }

    asio::io_context context{1};
    Clock clock;
    SlowStore store;
    MetricsRegistry metrics;
    JobTable table;
    Platform::RecordDecoder decoder;
    ClusterView cluster{decoder, metrics};
    TopicFollower follower{context.get_executor(), clock, store, Topic::Jobs};
    JobIntake intake{context.get_executor(), clock, store, table, follower, cluster, metrics};
    Platform::JobEndpoint endpoint{intake, table, cluster};
};

} // namespace

Test(jobEndpoint, anOddTimeoutOfACallerDoesNotOverflow)
{
    Fixture fixture;
    cr_assert_eq(fixture.submit("5c0e7a21d94b36f8"), http::status::ok);
    int number = 0;
    for (const char *timeout : {"9223372036854775807", "9223372036854", "-9223372036854775808", "-1", "1e308", "99999999999999999999", "x"}) {
        const http::status status = fixture.submit("5c0e7a21d94b36f" + std::to_string(number++), timeout);
        cr_expect_eq(status, http::status::ok, "%s: %d", timeout, static_cast<int>(status));
    }
}

Test(jobEndpoint, anIdThatIsNoKeyIsRefusedInsteadOfStoredUnderAnotherKey)
{
    Fixture fixture;
    cr_expect_eq(fixture.submit(std::string(300, 'a')), http::status::bad_request);
    cr_expect_eq(fixture.submit("a.b"), http::status::bad_request, "ends of its tasks could not be decoded");
    cr_expect(fixture.store.keys.empty());
    cr_expect_eq(fixture.submit(std::string(100, 'a')), http::status::ok);
}

/// The platform takes a 503 as the promise that the job never runs, and the caller returns after the delay.
Test(jobEndpoint, aServingJobWithoutRoomGets503WithRetryAfter)
{
    Fixture fixture;
    fixture.publishRoom(1999);
    const HttpResponse response = fixture.submitServing("5c0e7a21d94b36f8");
    cr_assert_eq(response.result(), http::status::service_unavailable);
    cr_assert_geq(std::stoi(std::string(response[http::field::retry_after])), 2);
    cr_assert(fixture.store.keys.empty());
    cr_assert_eq(fixture.submit("5c0e7a21d94b36f9"), http::status::ok, "not a serving job");
}

Test(jobEndpoint, aServingJobWithRoomIsAccepted)
{
    Fixture fixture;
    fixture.publishRoom(2000);
    cr_assert_eq(fixture.submitServing("5c0e7a21d94b36f8").result(), http::status::ok);
}
