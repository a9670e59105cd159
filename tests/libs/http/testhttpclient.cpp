#include <http/httpclient.h>
#include <support/coroutines.h>
#include <support/slowserver.h>
#include <utils/endpoint.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

constexpr HttpTimeouts Timeouts{600ms, 600ms};
constexpr std::chrono::milliseconds SchedulingMargin{1000};

struct Fixture
{
    explicit Fixture(SlowResponse response)
        : server(context.get_executor(), std::move(response))
        , client(context.get_executor())
    {
    }

    asio::awaitable<Outcome<HttpResponse>> get(HttpClient::Timeout timeout)
    {
        co_return co_await client.send(formatEndpoint(server.localEndpoint()), boost::beast::http::verb::get, "/", {}, timeout);
    }

    asio::io_context context{1};
    SlowServer server;
    HttpClient client;
};

/// Response of 100 KiB that takes a second.
SlowResponse steadyResponse()
{
    SlowResponse response;
    response.body = std::string(100 * 1024, 'x');
    response.pieceSize = 10 * 1024;
    response.pieceInterval = 100ms;
    return response;
}

asio::awaitable<void> expectBody(Fixture &f, HttpClient::Timeout timeout, std::size_t size)
{
    auto outcome = co_await f.get(timeout);
    const Error *error = errorOf(outcome);
    cr_assert_null(error, "%s", error != nullptr ? error->message.c_str() : "");
    cr_assert_eq(valueOf(outcome)->body().size(), size);
}

asio::awaitable<void> expectTimeout(Fixture &f, HttpClient::Timeout timeout, std::chrono::milliseconds after)
{
    const auto begin = std::chrono::steady_clock::now();
    auto outcome = co_await f.get(timeout);
    const std::chrono::nanoseconds time = std::chrono::steady_clock::now() - begin;
    cr_assert_not_null(errorOf(outcome));
    cr_assert_eq(errorOf(outcome)->code, ErrorCode::Timeout);
    cr_assert_geq(time.count(), std::chrono::nanoseconds(after).count());
    cr_assert_lt(time.count(), std::chrono::nanoseconds(after + SchedulingMargin).count());
}

} // namespace

Test(httpClient, aResponseThatMakesProgressIsReadToItsEnd)
{
    Fixture fixture(steadyResponse());
    runToEnd(fixture.context, expectBody(fixture, Timeouts, 100 * 1024));
    cr_assert_eq(fixture.server.requests(), 1);
}

Test(httpClient, aResponseWithoutBodyIsComplete)
{
    Fixture fixture(SlowResponse{});
    runToEnd(fixture.context, expectBody(fixture, Timeouts, 0));
    runToEnd(fixture.context, expectBody(fixture, Timeouts, 0));
    cr_assert_eq(fixture.server.requests(), 2);
}

Test(httpClient, aResponseThatStallsIsGivenUp)
{
    SlowResponse response = steadyResponse();
    response.stallsAfter = 20 * 1024;
    Fixture fixture(std::move(response));
    runToEnd(fixture.context, expectTimeout(fixture, Timeouts, 800ms));
}

Test(httpClient, aServerThatDoesNotRespondIsGivenUpAfterTheResponseTimeout)
{
    SlowResponse response = steadyResponse();
    response.headerDelay = 10s;
    Fixture fixture(std::move(response));
    runToEnd(fixture.context, expectTimeout(fixture, Timeouts, 600ms));
}

Test(httpClient, aResponseOfSingleBytesDoesNotHoldItsRequestForever)
{
    SlowResponse response;
    response.body = std::string(1024, 'x');
    response.pieceInterval = 50ms;
    Fixture fixture(std::move(response));
    runToEnd(fixture.context, expectTimeout(fixture, Timeouts, 600ms));
}

Test(httpClient, aTotalDeadlineEndsAResponseThatMakesProgress)
{
    Fixture fixture(steadyResponse());
    runToEnd(fixture.context, expectTimeout(fixture, 400ms, 400ms));
}

/// Returns how many turns of the event loop a body of @p size bytes takes that is sent at once. Between two turns of one transfer, a
/// busy process runs the handlers of all others.
static int turnsForBody(std::size_t size)
{
    SlowResponse response;
    response.body = std::string(size, 'x');
    response.pieceSize = response.body.size();
    Fixture fixture(std::move(response));
    bool isFinished = false;
    asio::co_spawn(fixture.context, expectBody(fixture, Timeouts, size), [&](const std::exception_ptr &) { isFinished = true; });
    int turns = 0;
    while (!isFinished && fixture.context.run_one_for(5s) > 0) {
        ++turns;
    }
    cr_assert(isFinished);
    return turns;
}

Test(httpClient, aLargeBodyTakesFewTurnsOfABusyEventLoop)
{
    const int turns = turnsForBody(1024 * 1024);
    cr_assert_lt(turns, 500, "%d turns", turns);
}

Test(httpClient, aPageOfATopicTakesFewTurnsOfABusyEventLoop)
{
    constexpr std::size_t PageSize = 60 * 1024;
    const int turns = turnsForBody(PageSize);
    cr_assert_lt(turns, 40, "%d turns", turns);
}

static asio::awaitable<void> anErrorTellsHowMuchOfTheResponseArrivedSteps(Fixture &f, std::string text)
{
    auto outcome = co_await f.get(Timeouts);
    cr_assert_not_null(errorOf(outcome));
    cr_assert(errorOf(outcome)->message.find(text) != std::string::npos, "%s", errorOf(outcome)->message.c_str());
}

Test(httpClient, anErrorTellsHowMuchOfTheResponseArrived)
{
    SlowResponse stalled = steadyResponse();
    stalled.stallsAfter = 10 * 1024;
    Fixture partial(std::move(stalled));
    runToEnd(partial.context, ::anErrorTellsHowMuchOfTheResponseArrivedSteps(partial, "after 10240 bytes of the body"));
    SlowResponse late = steadyResponse();
    late.headerDelay = 10s;
    Fixture missing(std::move(late));
    runToEnd(missing.context, ::anErrorTellsHowMuchOfTheResponseArrivedSteps(missing, "before the response"));
}
