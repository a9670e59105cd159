#include <wire/rpcclient.h>
#include <wire/rpcserver.h>

#include <utils/endpoint.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

using namespace Hyssop;
namespace asio = boost::asio;

static const asio::ip::tcp::endpoint AnyPort(asio::ip::address_v4::loopback(), 0);

static asio::awaitable<Wire::Message> replyAfterDelay(const Wire::Message &request)
{
    const auto delay = std::chrono::milliseconds(request.targetsRequest.knownVersion);
    asio::steady_timer timer(co_await asio::this_coro::executor, delay);
    co_await timer.async_wait(asio::use_awaitable);
    Wire::TargetsReply reply;
    reply.version = request.targetsRequest.knownVersion;
    Wire::Message message;
    message.__set_targetsReply(reply);
    co_return message;
}

static Wire::Message targetsRequest(std::int64_t version)
{
    Wire::TargetsRequest request;
    request.__set_knownVersion(version);
    Wire::Message message;
    message.__set_targetsRequest(request);
    return message;
}

// GCC 12 can't compile coroutine lambdas inside a Criterion test, so each test runs a named coroutine.
static void runToEnd(asio::io_context &context, asio::awaitable<void> coroutine)
{
    bool finished = false;
    asio::co_spawn(context, std::move(coroutine), [&](const std::exception_ptr &failure) { finished = failure == nullptr; });
    context.run_for(std::chrono::seconds(20));
    cr_assert(finished);
}

static asio::awaitable<void> checkReplyMatching(RpcServer &server)
{
    const std::string address = formatEndpoint(server.localEndpoint());
    RpcClient client(co_await asio::this_coro::executor);
    auto slow = co_await client.call(address, targetsRequest(200), std::chrono::milliseconds(50));
    cr_assert(errorOf(slow) != nullptr);
    cr_assert(errorOf(slow)->code == ErrorCode::Timeout);
    for (int version = 1; version < 20; ++version) {
        auto reply = co_await client.call(address, targetsRequest(version), std::chrono::seconds(5));
        cr_assert(valueOf(reply) != nullptr);
        cr_assert_eq(valueOf(reply)->targetsReply.version, version);
    }
    server.stop();
}

// Guards against a late reply that is mistaken for the reply to the next request.
Test(rpc, timesOutAndMatchesReplies)
{
    asio::io_context context;
    RpcServer server(context.get_executor(), AnyPort, replyAfterDelay);
    server.start();
    runToEnd(context, checkReplyMatching(server));
}

static asio::awaitable<void> checkMalformedFrames(RpcServer &server)
{
    const auto executor = co_await asio::this_coro::executor;
    for (const std::string &bytes : {std::string("\0\0\0\3abc", 7), std::string("\xff\xff\xff\xff", 4)}) {
        asio::ip::tcp::socket socket(executor);
        co_await socket.async_connect(server.localEndpoint(), asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
        boost::system::error_code ignored;
        std::string reply;
        co_await asio::async_read(socket, asio::dynamic_buffer(reply), asio::redirect_error(asio::use_awaitable, ignored));
    }
    RpcClient client(executor);
    auto reply = co_await client.call(formatEndpoint(server.localEndpoint()), targetsRequest(1), std::chrono::seconds(5));
    cr_assert(valueOf(reply) != nullptr);
    cr_assert_eq(server.malformedFrames(), 2);
    server.stop();
}

// Guards against a server that stops serving after it received malformed data.
Test(rpc, staysUpAfterMalformedFrames)
{
    asio::io_context context;
    RpcServer server(context.get_executor(), AnyPort, replyAfterDelay);
    server.start();
    runToEnd(context, checkMalformedFrames(server));
}

static asio::awaitable<void> callOnce(RpcClient &client, RpcServer &server, std::int64_t version, int &replies)
{
    auto reply = co_await client.call(formatEndpoint(server.localEndpoint()), targetsRequest(version), std::chrono::seconds(5));
    replies += valueOf(reply) != nullptr ? 1 : 0;
}

static asio::awaitable<void> checkUnfinishedRequests(RpcServer &server)
{
    const auto executor = co_await asio::this_coro::executor;
    RpcClient client(executor);
    RpcClient idle(executor);
    int replies = 0;
    co_await callOnce(idle, server, 1, replies);
    asio::co_spawn(executor, callOnce(client, server, 300, replies), asio::detached);
    asio::steady_timer timer(executor, std::chrono::milliseconds(50));
    co_await timer.async_wait(asio::use_awaitable);
    cr_assert_eq(server.unfinishedRequests(), 1);
    while (server.unfinishedRequests() > 0) {
        server.closeIdleConnections();
        timer.expires_after(std::chrono::milliseconds(10));
        co_await timer.async_wait(asio::use_awaitable);
    }
    server.stop();
    timer.expires_after(std::chrono::milliseconds(50));
    co_await timer.async_wait(asio::use_awaitable);
    cr_assert_eq(replies, 2, "the request that was being handled got no reply");
}

// Guards against a shutdown that closes a connection while its request is being handled.
Test(rpc, requestsThatAreHandledGetTheirReplyBeforeAStop)
{
    asio::io_context context;
    RpcServer server(context.get_executor(), AnyPort, replyAfterDelay);
    server.start();
    runToEnd(context, checkUnfinishedRequests(server));
}
