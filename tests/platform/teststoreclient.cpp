#include <http/httpclient.h>
#include <ports/topicappend.h>
#include <standins/platform/storeserver.h>
#include <storeclient.h>
#include <support/coroutines.h>
#include <support/slowserver.h>
#include <utils/endpoint.h>

#include <boost/endian/conversion.hpp>
#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

struct Fixture
{
    Fixture()
        : server(context.get_executor(), anyLoopbackPort())
        , http(context.get_executor())
        , client(http, formatEndpoint(server.localEndpoint()))
    {
        server.start();
    }

    static TopicAppend appendOf(const std::string &key, const std::string &value) { return {Topic::Jobs, {{0, key, value}}, std::nullopt, std::nullopt}; }

    asio::awaitable<TopicAppendResult> append(TopicAppend append) { co_return co_await client.append(std::move(append), 500ms); }

    asio::io_context context{1};
    StandIn::StoreServer server;
    HttpClient http;
    Platform::StoreClient client;
};

/// A store behind a link that delivers the body of a response in pieces.
struct SlowLinkFixture
{
    explicit SlowLinkFixture(SlowResponse response)
        : server(context.get_executor(), std::move(response))
        , http(context.get_executor())
        , client(http, formatEndpoint(server.localEndpoint()))
    {
    }

    asio::io_context context{1};
    SlowServer server;
    HttpClient http;
    Platform::StoreClient client;
};

constexpr std::size_t LargeValueBytes = 1024 * 1024;
constexpr std::size_t Pieces = 20;

std::string bigEndian(std::uint64_t number, std::size_t size)
{
    std::string bytes(8, '\0');
    boost::endian::store_big_u64(reinterpret_cast<unsigned char *>(bytes.data()), number);
    return bytes.substr(8 - size);
}

/// Response to a read of one large record in pieces, one each @p pieceInterval.
SlowResponse largeRecordResponse(std::chrono::milliseconds pieceInterval)
{
    const std::string content = "\6config" + std::string(LargeValueBytes, 'x');
    SlowResponse response;
    response.body = bigEndian(1, 8) + bigEndian(0, 8) + bigEndian(content.size(), 4) + content;
    response.pieceSize = response.body.size() / Pieces + 1;
    response.pieceInterval = pieceInterval;
    return response;
}

} // namespace

static asio::awaitable<void> appendedRecordsAreReadSteps(Fixture &f)
{
    cr_assert_eq(std::get<TopicAppended>(co_await f.append(f.appendOf("a", "1"))).offset, 0);
    cr_assert_eq(std::get<TopicAppended>(co_await f.append(f.appendOf("b", "2"))).offset, 1);
    const TopicReadResult read = co_await f.client.read(Topic::Jobs, 1, 0ms);
    const RecordPage &page = std::get<RecordPage>(read);
    cr_assert_eq(page.records.size(), 1);
    cr_assert_eq(page.records[0].key, "b");
    const NewestRecordsResult newest = co_await f.client.readNewest(Topic::Jobs, "a");
    cr_assert_eq(std::get<NewestRecordsPage>(newest).records.size(), 1);
    const TopicReadResult empty = co_await f.client.read(Topic::Jobs, 2, 20ms);
    cr_assert(std::get<RecordPage>(empty).records.empty());
}

Test(storeClient, appendedRecordsAreRead)
{
    Fixture fixture;
    runToEnd(fixture.context, ::appendedRecordsAreReadSteps(fixture));
}

static asio::awaitable<void> conflictsAndEpochsAreReportedSteps(Fixture &f)
{
    TopicAppend claim = f.appendOf("owner", "x");
    claim.expectedEnd = 3;
    cr_assert_eq(std::get<TopicEndMismatch>(co_await f.append(claim)).end, 0);
    claim.expectedEnd = 0;
    claim.position = ProducerPosition{"owner", 5, 0};
    cr_assert(std::holds_alternative<TopicAppended>(co_await f.append(claim)));
    TopicAppend next = f.appendOf("p", "y");
    next.position = ProducerPosition{"owner", 5, 1};
    const auto first = std::get<TopicAppended>(co_await f.append(next));
    cr_assert_eq(std::get<TopicAppended>(co_await f.append(next)).offset, first.offset, "a repeated append returns the original result");
    next.position->sequence = 7;
    cr_assert_eq(std::get<ProducerFenced>(co_await f.append(next)).reason, "seq");
    next.position = ProducerPosition{"owner", 4, 0};
    cr_assert_eq(std::get<ProducerFenced>(co_await f.append(next)).reason, "fenced");
}

Test(storeClient, conflictsAndEpochsAreReported)
{
    Fixture fixture;
    runToEnd(fixture.context, ::conflictsAndEpochsAreReportedSteps(fixture));
}

static asio::awaitable<void> definiteAndUndeterminedFailuresAreDistinguishedSteps(Fixture &f)
{
    f.server.faults.isDown = true;
    cr_assert(std::holds_alternative<TopicAppendRejected>(co_await f.append(f.appendOf("a", "1"))));
    cr_assert(std::holds_alternative<Error>(co_await f.client.read(Topic::Jobs, 0, 0ms)));
    f.server.faults = {false, 1.0};
    cr_assert(std::holds_alternative<TopicAppendUndetermined>(co_await f.append(f.appendOf("a", "1"))));
    f.server.faults = {};
    const TopicReadResult read = co_await f.client.read(Topic::Jobs, 0, 0ms);
    cr_assert_eq(std::get<RecordPage>(read).records.size(), 1, "the append took effect");
    f.server.store.expireAll();
    cr_assert(std::holds_alternative<RecordsExpired>(co_await f.client.read(Topic::Jobs, 0, 0ms)));
    Platform::StoreClient unreachable(f.http, "127.0.0.1:1");
    cr_assert(std::holds_alternative<TopicAppendRejected>(co_await unreachable.append(f.appendOf("a", "1"), 500ms)));
}

Test(storeClient, definiteAndUndeterminedFailuresAreDistinguished)
{
    Fixture fixture;
    runToEnd(fixture.context, ::definiteAndUndeterminedFailuresAreDistinguishedSteps(fixture));
}

static asio::awaitable<void> onlyOneClaimOfATermSucceedsSteps(Fixture &f)
{
    TopicAppend first = f.appendOf("owner", "first");
    first.position = ProducerPosition{"owner", 7, 0};
    TopicAppend second = f.appendOf("owner", "second");
    second.position = first.position;
    cr_assert_eq(std::get<TopicAppended>(co_await f.append(first)).offset, 0);
    // A submission between the claims does not invalidate the first one.
    cr_assert_eq(std::get<TopicAppended>(co_await f.append(f.appendOf("s", "1"))).offset, 1);
    const TopicAppendResult late = co_await f.append(second);
    const auto *repeated = std::get_if<TopicAppended>(&late);
    cr_assert(repeated == nullptr || repeated->offset == 0, "the second claim is treated as a repeat of the first one, or rejected");
    const TopicReadResult read = co_await f.client.read(Topic::Jobs, 0, 0ms);
    const RecordPage &page = std::get<RecordPage>(read);
    cr_assert_eq(page.records.size(), 2);
    cr_assert_eq(*page.records[0].value, "first");
}

Test(storeClient, onlyOneClaimOfATermSucceeds)
{
    Fixture fixture;
    runToEnd(fixture.context, ::onlyOneClaimOfATermSucceedsSteps(fixture));
}

static asio::awaitable<void> expectLargeRecordSteps(SlowLinkFixture &f, std::chrono::milliseconds wait)
{
    const TopicReadResult read = co_await f.client.read(Topic::Operators, 0, wait);
    const auto *error = std::get_if<Error>(&read);
    cr_assert_null(error, "the read failed: %s", error != nullptr ? error->message.c_str() : "");
    const RecordPage &page = std::get<RecordPage>(read);
    cr_assert_eq(page.records.size(), 1);
    cr_assert_eq(page.records[0].value->size(), LargeValueBytes);
    cr_assert_eq(f.server.requests(), 1);
}

Test(storeClient, aLargeRecordOverASlowLinkIsReadInOneRequest)
{
    SlowLinkFixture fixture(largeRecordResponse(100ms));
    runToEnd(fixture.context, ::expectLargeRecordSteps(fixture, 0ms));
}

Test(storeClient, theWaitForARecordDoesNotReduceTheTimeOfItsTransfer)
{
    SlowResponse response = largeRecordResponse(90ms);
    response.headerDelay = 950ms;
    SlowLinkFixture fixture(std::move(response));
    runToEnd(fixture.context, ::expectLargeRecordSteps(fixture, 1000ms));
}

static asio::awaitable<void> aStalledPageOfNewestRecordsIsGivenUpSoonSteps(SlowLinkFixture &f)
{
    const auto begin = std::chrono::steady_clock::now();
    const NewestRecordsResult newest = co_await f.client.readNewest(Topic::Operators, "");
    cr_assert(std::holds_alternative<Error>(newest));
    cr_assert_lt((std::chrono::steady_clock::now() - begin).count(), std::chrono::nanoseconds(4s).count());
}

Test(storeClient, aStalledPageOfNewestRecordsIsGivenUpSoon)
{
    SlowResponse response = largeRecordResponse(10ms);
    response.stallsAfter = response.body.size() / 2;
    SlowLinkFixture fixture(std::move(response));
    runToEnd(fixture.context, ::aStalledPageOfNewestRecordsIsGivenUpSoonSteps(fixture));
}

static asio::awaitable<void> aLostPageOfNewestRecordsIsGivenUpBeforeLeasesEndSteps(SlowLinkFixture &f)
{
    const auto begin = std::chrono::steady_clock::now();
    const NewestRecordsResult newest = co_await f.client.readNewest(Topic::Workers, "");
    cr_assert(std::holds_alternative<Error>(newest));
    // A new owner knows no worker until the page has arrived, and leases of 6 s end meanwhile.
    cr_assert_lt((std::chrono::steady_clock::now() - begin).count(), std::chrono::nanoseconds(3s).count());
}

Test(storeClient, aLostPageOfNewestRecordsIsGivenUpBeforeLeasesEnd)
{
    SlowResponse response = largeRecordResponse(10ms);
    response.headerDelay = 20s;
    SlowLinkFixture fixture(std::move(response));
    runToEnd(fixture.context, ::aLostPageOfNewestRecordsIsGivenUpBeforeLeasesEndSteps(fixture));
}
