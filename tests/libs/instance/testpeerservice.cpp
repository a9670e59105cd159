#include <instance/peerservice.h>

#include <observability/metricsregistry.h>
#include <support/coroutines.h>
#include <utils/endpoint.h>
#include <wire/rpcclient.h>
#include <wire/rpcserver.h>

#include <map>
#include <memory>

using namespace Hyssop;
using namespace std::chrono_literals;
namespace asio = boost::asio;

struct Peer
{
    Peer(asio::io_context &context, std::string instanceName, std::string domainName)
        : name(std::move(instanceName))
        , domain(std::move(domainName))
        , client(context.get_executor())
        , server(context.get_executor(), anyLoopbackPort(), [this](const Wire::Message &request) { return handleRequest(request); })
    {
        server.start();
    }

    asio::awaitable<Wire::Message> handleRequest(const Wire::Message &request)
    {
        ++received[request.heartbeat.instance];
        co_await pauseFor(delay);
        Wire::Message reply;
        reply.__set_heartbeat(service->receive(request.heartbeat));
        co_return reply;
    }

    void start(asio::io_context &context, std::vector<std::string> domainPeers, std::vector<std::string> remotePeers)
    {
        service = std::make_unique<PeerService>(
            context.get_executor(), client, metrics, PeerServiceOptions{name, domain, std::move(domainPeers), std::move(remotePeers)});
        service->start([this] { return heartbeat(); }, [this](const Wire::Heartbeat &heartbeat) { handledHeartbeats.push_back(heartbeat); });
    }

    Wire::Heartbeat heartbeat() const
    {
        Wire::Heartbeat heartbeat;
        heartbeat.instance = name;
        heartbeat.incarnation = 1;
        heartbeat.domain = domain;
        heartbeat.role = "scheduler";
        heartbeat.configAgeMs = 10;
        heartbeat.owner = owner;
        heartbeat.term = owner ? 5 : -1;
        return heartbeat;
    }

    std::string address() const { return formatEndpoint(server.localEndpoint()); }

    std::string name;
    std::string domain;
    bool owner = false;
    std::chrono::milliseconds delay{0};
    MetricsRegistry metrics;
    RpcClient client;
    RpcServer server;
    std::unique_ptr<PeerService> service;
    std::vector<Wire::Heartbeat> handledHeartbeats;
    std::map<std::string, int> received;
};

static asio::awaitable<void> checkExchange(asio::io_context &context)
{
    Peer a(context, "a", "east-a");
    Peer b(context, "b", "east-a");
    Peer c(context, "c", "east-b");
    Peer d(context, "d", "east-b");
    b.owner = true;
    b.delay = 150ms;
    a.start(context, {b.address(), a.address()}, {c.address(), d.address()});
    b.start(context, {a.address()}, {c.address(), d.address()});
    c.start(context, {}, {});
    d.start(context, {}, {});
    co_await pauseFor(3500ms);
    cr_assert(a.service->timeSinceOwnerHeartbeat().has_value());
    cr_assert(*a.service->timeSinceOwnerHeartbeat() < 1s);
    cr_assert_eq(a.service->peers().size(), 3);
    bool fromReply = false;
    for (const Wire::Heartbeat &heartbeat : a.handledHeartbeats) {
        cr_assert_neq(heartbeat.instance, "a");
        if (heartbeat.instance == "b" && heartbeat.configAgeMs >= 0) {
            fromReply = true;
            // The reply is delayed by 150 ms, on top of the age of 10 ms that it states.
            cr_assert_geq(heartbeat.configAgeMs, 160);
        }
    }
    cr_assert(fromReply);
    for (const Wire::Heartbeat &heartbeat : c.handledHeartbeats) {
        cr_assert_eq(heartbeat.configAgeMs, -1);
    }
    cr_assert(b.received["a"] >= 5 && b.received["a"] <= 9, "%d heartbeats in 3.5 s", b.received["a"]);
    // After the first round only "a" sends heartbeats on behalf of east-a, and only to one instance of east-b.
    cr_assert(c.received["a"] >= 3 && d.received["a"] <= 2, "%d and %d heartbeats", c.received["a"], d.received["a"]);
    cr_assert(c.received["b"] <= 2 && d.received["b"] <= 2);
    c.server.stop();
    co_await pauseFor(2500ms);
    cr_assert_geq(d.received["a"], 2);
    for (Peer *peer : {&a, &b, &c, &d}) {
        peer->service->stop();
        peer->server.stop();
    }
    co_await pauseFor(1200ms);
}

// Guards against heartbeats whose age is underestimated, traffic between regions that grows with the number of instances,
// and a remote domain that becomes unreachable with one of its instances.
Test(peerservice, exchangesHeartbeats)
{
    asio::io_context context;
    runToEnd(context, checkExchange(context));
}
