#include "transportcost.h"

#include <http/httpclient.h>
#include <workercodec.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <cstdio>
#include <string>
#include <thread>
#include <vector>

namespace Hyssop::Bench {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr int Servers = 32; // each with a connection
constexpr int ReportedRuns = 12;

static PollCommand poll()
{
    PollCommand command;
    command.worker = {"5c0e7a21d94b36f8", "127.0.0.1:1"};
    command.fencingToken = 1'000'017;
    command.acknowledgedSequence = 57;
    command.leaseEnd = WorkerTime(486000);
    command.wait = std::chrono::milliseconds(600);
    return command;
}

static StartCommand start()
{
    StartCommand command;
    command.worker = {"5c0e7a21d94b36f8", "127.0.0.1:1"};
    command.task = {"6d0e7a21d94b36f8", 0, 1, 17};
    command.run = 2;
    command.payload = std::string(60, 'p');
    command.fencingToken = 1'000'017;
    command.leaseEnd = WorkerTime(486000);
    return command;
}

static std::string report()
{
    std::string body = R"({"clockMs":482113,"born":1700000000000,"running":[)";
    for (int run = 0; run < ReportedRuns; ++run) {
        body += (run > 0 ? "," : "") + std::string(R"(["5c0e7a21d94b36f8.0.1.)") + std::to_string(run) + R"(",2,"00000bb87a21d94b",41,830])";
    }
    return body + R"(],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
}

/// Answers each request of one connection with the same report.
static void serve(Tcp::acceptor &acceptor)
{
    Tcp::socket socket = acceptor.accept();
    socket.set_option(Tcp::no_delay(true));
    const std::string body = report();
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string request;
    boost::system::error_code error;
    while (!error) {
        // Requests end with the body, a JSON object without nested ones.
        const std::size_t size = asio::read_until(socket, asio::dynamic_buffer(request), '}', error);
        if (!error) {
            request.erase(0, size);
            asio::write(socket, asio::buffer(response), error);
        }
    }
}

static asio::awaitable<void> exchange(HttpClient &client, std::string address, std::string body, int &remaining)
{
    do {
        HttpRequest request(boost::beast::http::verb::post, "/v1/poll", 11);
        request.set(boost::beast::http::field::content_type, "application/json");
        request.body() = body;
        auto outcome = co_await client.send(address, std::move(request), std::chrono::milliseconds(1500));
        if (const Error *error = errorOf(outcome)) {
            std::fprintf(stderr, "exchange failed: %s\n", error->message.c_str());
            co_return;
        }
    } while (--remaining > 0);
}

void measureCodec(StageTimes &times, int count)
{
    std::size_t bytes = 0;
    times.begin();
    for (int index = 0; index < count; ++index) {
        bytes += Platform::encodeStart(start()).size();
    }
    times.end("encode start", count);
    for (int index = 0; index < count; ++index) {
        bytes += Platform::encodePoll(poll()).size();
    }
    times.end("encode poll", count);
    const std::string body = report();
    times.begin();
    for (int index = 0; index < count; ++index) {
        std::size_t malformed = 0;
        auto decoded = capture([&] { return Platform::decodeReport(body, malformed); });
        bytes += valueOf(decoded)->runs.size();
    }
    times.end("decode report", count);
    for (int index = 0; index < count; ++index) {
        bytes += static_cast<std::size_t>(Platform::decodeClock(R"({"clockMs":482113})").count());
    }
    times.end("decode clock", count);
    std::printf("codec: %zu bytes and rows\n", bytes);
}

void measureExchanges(StageTimes &times, int count)
{
    asio::io_context context(1);
    asio::io_context serverContext;
    std::vector<Tcp::acceptor> acceptors;
    acceptors.reserve(Servers);
    std::vector<std::jthread> threads;
    for (int server = 0; server < Servers; ++server) {
        acceptors.emplace_back(serverContext, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        threads.emplace_back([&acceptor = acceptors.back()] { serve(acceptor); });
    }
    {
        HttpClient client(context.get_executor());
        const std::string body = Platform::encodePoll(poll());
        int remaining = count;
        times.begin();
        for (const Tcp::acceptor &acceptor : acceptors) {
            const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
            asio::co_spawn(context, exchange(client, address, body, remaining), asio::detached);
        }
        context.run();
        times.end("HTTP exchange", count);
    }
}

} // namespace Hyssop::Bench
