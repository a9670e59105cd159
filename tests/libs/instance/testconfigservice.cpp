#include <instance/configservice.h>

#include <http/httpclient.h>
#include <observability/metricsregistry.h>
#include <platform/logappender.h>
#include <platform/logclient.h>
#include <standins/log/logservice.h>
#include <support/coroutines.h>
#include <utils/endpoint.h>
#include <wire/codec.h>
#include <wire/rpcclient.h>
#include <wire/rpcserver.h>

#include <memory>
#include <set>

using namespace Hyssop;
using namespace std::chrono_literals;
namespace asio = boost::asio;

/// Accepts "customer NAME" so that these tests don't depend on the format of contracts.
static std::variant<Contract, std::vector<ContractError>> parseTestContract(std::string_view text)
{
    constexpr std::string_view Prefix = "customer ";
    if (!text.starts_with(Prefix)) {
        return std::vector<ContractError>{{1, "expected: customer NAME"}};
    }
    Contract contract;
    text.remove_prefix(Prefix.size());
    contract.customer = text.substr(0, text.find(' '));
    return contract;
}

static asio::awaitable<Wire::Message> handleStateRequest(ConfigService *service, const Wire::Message &request)
{
    Wire::Message reply;
    if (request.__isset.configStateRequest) {
        reply.__set_configStateReply(service->state(request.configStateRequest));
    } else {
        reply.__set_acknowledgement({});
    }
    co_return reply;
}

/// One instance: its configuration service, and the RPC server that its peers send requests to.
struct Instance
{
    Instance(asio::io_context &context, const std::string &logAddress, ConfigServiceOptions options)
        : http(context.get_executor())
        , log(http, logAddress)
        , rpc(context.get_executor())
        , service(context.get_executor(), log, rpc, metrics, withParser(std::move(options)))
        , server(context.get_executor(), anyLoopbackPort(), [this](const Wire::Message &request) { return handleStateRequest(&service, request); })
    {
        server.start();
        service.start();
    }

    static ConfigServiceOptions withParser(ConfigServiceOptions options)
    {
        options.contractParser = parseTestContract;
        return options;
    }

    std::string address() const { return formatEndpoint(server.localEndpoint()); }

    HttpClient http;
    LogClient log;
    RpcClient rpc;
    MetricsRegistry metrics;
    ConfigService service;
    RpcServer server;
};

struct Fixture
{
    Fixture()
        : log(context.get_executor(), anyLoopbackPort())
    {
        log.start();
    }

    /// Instances live until the end of the test, because their coroutines refer to them.
    Instance &add(ConfigServiceOptions options)
    {
        instances.push_back(std::make_unique<Instance>(context, log.address(), std::move(options)));
        return *instances.back();
    }

    void writeRecord(const Wire::Record &record)
    {
        Wire::RecordBatch batch;
        batch.batchId = "test-" + std::to_string(++batches);
        batch.records = {record};
        log.store().append("config", encode(batch), std::chrono::system_clock::now());
    }

    asio::io_context context;
    LogService log;
    int batches = 0;
    std::vector<std::unique_ptr<Instance>> instances;
};

static ConfigServiceOptions optionsFor(const std::string &name, std::vector<std::string> peers = {})
{
    ConfigServiceOptions options;
    options.instance = name;
    options.peers = std::move(peers);
    return options;
}

static Wire::ConfigChange change(const std::string &key, std::int64_t base, const std::string &id, const std::string &body)
{
    Wire::ConfigChange change;
    change.key = key;
    change.baseRevision = base;
    change.changeId = id;
    change.body = body;
    change.operatorName = "op";
    return change;
}

static asio::awaitable<void> waitUntil(std::function<bool()> condition)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + 10s;
    while (!condition()) {
        cr_assert(std::chrono::steady_clock::now() < deadline, "the condition was not met within 10 s");
        co_await pauseFor(2ms);
    }
}

static asio::awaitable<void> submit(ConfigService *service, Wire::ConfigChange change, std::vector<Wire::ConfigApplyReply> *replies)
{
    Wire::ConfigApplyReply reply = co_await service->apply(change);
    replies->push_back(reply);
}

static asio::awaitable<void> checkConcurrentChanges(Fixture &fixture)
{
    for (int i = 0; i < 3; ++i) {
        fixture.add(optionsFor("instance-" + std::to_string(i)));
    }
    const auto &instances = fixture.instances;
    co_await waitUntil([&] { return std::ranges::all_of(instances, [](const auto &instance) { return instance->service.ready(); }); });
    constexpr int Rounds = 8;
    for (int round = 0; round < Rounds; ++round) {
        std::vector<Wire::ConfigApplyReply> replies;
        fixture.log.faults().loseResponses = round % 3;
        fixture.log.faults().dropAppends = round % 2;
        for (std::size_t i = 0; i < instances.size(); ++i) {
            const std::string id = "change-" + std::to_string(round) + "-" + std::to_string(i);
            asio::co_spawn(
                fixture.context, submit(&instances[i]->service, change("contract/mtkvari", round, id, "customer mtkvari " + id), &replies), asio::detached);
        }
        co_await waitUntil([&] { return replies.size() == instances.size(); });
        int accepted = 0;
        for (const Wire::ConfigApplyReply &reply : replies) {
            accepted += reply.verdict == Wire::ChangeVerdict::Accepted ? 1 : 0;
            cr_assert(reply.verdict == Wire::ChangeVerdict::Accepted || reply.verdict == Wire::ChangeVerdict::Conflict,
                      "verdict %d: %s",
                      reply.verdict,
                      reply.message.c_str());
            cr_assert(reply.verdict == Wire::ChangeVerdict::Accepted || reply.current.revision == round + 1);
        }
        cr_assert_eq(accepted, 1);
        const TimePoint start = std::chrono::steady_clock::now();
        co_await waitUntil(
            [&] { return std::ranges::all_of(instances, [&](const auto &instance) { return instance->service.contract("mtkvari")->revision == round + 1; }); });
        cr_assert(std::chrono::steady_clock::now() - start < 1s);
        cr_assert_eq(instances[0]->service.digest(), instances[1]->service.digest());
        cr_assert_eq(instances[0]->service.digest(), instances[2]->service.digest());
    }
    Wire::AuditRequest request;
    cr_assert_eq(instances[1]->service.audit(request).entries.size(), 3 * Rounds);
}

// Guards against two accepted changes with the same base revision, also if responses of the log are lost, and against
// instances with different results.
Test(configservice, oneOfSeveralConcurrentChangesIsAccepted)
{
    Fixture fixture;
    runToEnd(fixture.context, checkConcurrentChanges(fixture));
}

static asio::awaitable<void> checkVerdicts(Fixture &fixture)
{
    ConfigService &service = fixture.add(optionsFor("a")).service;
    const auto early = co_await service.apply(change("domain/east-a", 0, "early", "out"));
    cr_assert_eq(early.verdict, Wire::ChangeVerdict::Unavailable);
    co_await waitUntil([&] { return service.ready(); });
    const auto refused = co_await service.apply(change("contract/mtkvari", 0, "a", "garbage"));
    cr_assert_eq(refused.verdict, Wire::ChangeVerdict::Refused);
    cr_assert_eq(refused.message, "line 1: expected: customer NAME");
    const auto other = co_await service.apply(change("contract/mtkvari", 0, "a", "customer cascadia"));
    cr_assert_eq(other.verdict, Wire::ChangeVerdict::Refused);
    cr_assert_eq(fixture.log.store().statistics().appends, 0);
    fixture.log.faults().available = false;
    const auto unavailable = co_await service.apply(change("domain/east-a", 0, "b", "out"));
    cr_assert_eq(unavailable.verdict, Wire::ChangeVerdict::Unavailable);
    fixture.log.faults().available = true;
    cr_assert(service.isDomainInService("east-a"));
    const auto accepted = co_await service.apply(change("domain/east-a", 0, "b", "out"));
    cr_assert_eq(accepted.verdict, Wire::ChangeVerdict::Accepted);
    cr_assert_not(service.isDomainInService("east-a"));
    const auto again = co_await service.apply(change("domain/east-a", 0, "b", "out"));
    cr_assert_eq(again.verdict, Wire::ChangeVerdict::Accepted);
    cr_assert_eq(again.revision, 1);
    cr_assert_eq(fixture.log.store().statistics().appends, 1);
}

// Guards against invalid changes in the log, changes accepted during an outage of the log, and a second record for a
// repeated change id.
Test(configservice, verdictsAreCertain)
{
    Fixture fixture;
    runToEnd(fixture.context, checkVerdicts(fixture));
}

static asio::awaitable<void> checkUnusableContract(Fixture &fixture)
{
    ConfigService &service = fixture.add(optionsFor("a")).service;
    int changes = 0;
    service.setChangeHandler([&] { ++changes; });
    co_await waitUntil([&] { return service.ready(); });
    co_await service.apply(change("contract/mtkvari", 0, "a", "customer mtkvari"));
    Wire::Record record;
    record.__set_configChange(change("contract/mtkvari", 1, "b", "a newer format"));
    fixture.writeRecord(record);
    co_await waitUntil([&] { return service.appliedUpTo() == 2; });
    cr_assert_eq(service.contract("mtkvari")->revision, 1);
    cr_assert_eq(service.contracts().size(), 1);
    Wire::ConfigStateRequest request;
    cr_assert_eq(service.state(request).entries.at(0).revision, 2);
    cr_assert_eq(fixture.instances[0]->metrics.value("hyssop_config_unusable_bodies_total"), 1);
    cr_assert_eq(changes, 2);
}

// Guards against a customer without a contract because this version of the software can't parse the newest one.
Test(configservice, lastUsableContractStaysInUse)
{
    Fixture fixture;
    runToEnd(fixture.context, checkUnusableContract(fixture));
}

static asio::awaitable<void> checkStartWithoutLog(Fixture &fixture)
{
    Instance &first = fixture.add(optionsFor("a"));
    co_await waitUntil([&] { return first.service.ready(); });
    co_await first.service.apply(change("domain/east-a", 0, "a", "out"));
    fixture.log.faults().available = false;
    Instance &isolated = fixture.add(optionsFor("isolated"));
    Instance &second = fixture.add(optionsFor("b", {"127.0.0.1:1", isolated.address(), first.address()}));
    co_await waitUntil([&] { return second.service.ready(); });
    cr_assert_not(isolated.service.ready());
    cr_assert_not(isolated.service.headAge(std::chrono::steady_clock::now()));
    cr_assert_not(second.service.isDomainInService("east-a"));
    cr_assert_eq(second.service.digest(), first.service.digest());
    cr_assert_eq(second.service.appliedUpTo(), 1);
    // The time of verification is that of the peer.
    const TimePoint now = std::chrono::steady_clock::now();
    cr_assert(*second.service.headAge(now) >= *first.service.headAge(now));
    cr_assert(*second.service.headAge(now + 5s) >= 5s);
    fixture.log.faults().available = true;
    co_await waitUntil([&] { return isolated.service.ready() && *second.service.headAge(std::chrono::steady_clock::now()) < 1s; });
    const auto reply = co_await second.service.apply(change("domain/east-a", 1, "b", "in"));
    cr_assert_eq(reply.verdict, Wire::ChangeVerdict::Accepted);
    co_await waitUntil([&] { return isolated.service.digest() == second.service.digest(); });
}

// Guards against an instance that becomes ready with an empty configuration while the log is unavailable, or with that of
// a peer that is not ready.
Test(configservice, mergesTheStateOfAReadyPeerInAnOutage)
{
    Fixture fixture;
    runToEnd(fixture.context, checkStartWithoutLog(fixture));
}

static asio::awaitable<void> checkRepublication(Fixture &fixture, std::chrono::milliseconds clockOffset)
{
    fixture.log.faults().clockOffset = clockOffset;
    ConfigServiceOptions options = optionsFor("a");
    options.retention = 1s;
    Instance &first = fixture.add(options);
    options.instance = "b";
    Instance &second = fixture.add(options);
    co_await waitUntil([&] { return first.service.ready() && second.service.ready(); });
    co_await first.service.apply(change("contract/mtkvari", 0, "a", "customer mtkvari"));
    co_await first.service.apply(change("contract/mtkvari", 1, "b", "customer mtkvari 2"));
    co_await first.service.apply(change("domain/east-a", 0, "c", "out"));
    Wire::ConfigChange removal = change("domain/east-a", 1, "d", "");
    removal.removed = true;
    co_await first.service.apply(removal);
    // Runs for four times the retention. Records expire by age, as in the platform's log.
    for (int i = 0; i < 80; ++i) {
        co_await pauseFor(50ms);
        const auto &records = fixture.log.store().streams().at("config").records;
        std::int64_t oldest = 1;
        for (const LogRecord &record : records) {
            oldest = std::chrono::system_clock::now() + clockOffset - record.time > 1s ? record.offset + 1 : oldest;
        }
        fixture.log.store().truncate("config", oldest);
    }
    const auto written = first.metrics.value("hyssop_config_snapshots_written_total") + second.metrics.value("hyssop_config_snapshots_written_total");
    std::fprintf(stderr, "%.0f snapshots of 2 keys by 2 instances in 4 retention times\n", written);
    // A key is republished every 0.5 to 0.6 retention times; the two instances rarely write the same snapshot.
    cr_assert(written >= 10 && written <= 32);
    Instance &third = fixture.add(optionsFor("c"));
    co_await waitUntil([&] { return third.service.ready(); });
    cr_assert_gt(fixture.log.store().read("config", 1, 1).oldest, 5);
    cr_assert_eq(third.service.contract("mtkvari")->revision, 2);
    cr_assert_eq(third.service.digest(), first.service.digest());
    const auto reply = co_await third.service.apply(change("domain/east-a", 0, "e", "out"));
    cr_assert_eq(reply.verdict, Wire::ChangeVerdict::Conflict);
}

// Guards against configuration that is lost when its records expire.
Test(configservice, republicationKeepsTheStateAlive)
{
    Fixture fixture;
    runToEnd(fixture.context, checkRepublication(fixture, 0ms));
}

// Guards against an instance whose clock is behind, so that it republishes the state too late.
Test(configservice, republicationToleratesASlowClock)
{
    Fixture fixture;
    runToEnd(fixture.context, checkRepublication(fixture, 1h));
}

// Guards against an instance whose clock is ahead, so that it writes snapshots endlessly.
Test(configservice, republicationToleratesAFastClock)
{
    Fixture fixture;
    runToEnd(fixture.context, checkRepublication(fixture, -1h));
}

static Wire::Record snapshot(std::int64_t revision, std::int64_t readUpTo)
{
    Wire::ConfigSnapshot snapshot;
    snapshot.key = "contract/mtkvari";
    snapshot.revision = revision;
    snapshot.readUpTo = readUpTo;
    snapshot.body = "customer mtkvari " + std::to_string(revision);
    Wire::Record record;
    record.__set_configSnapshot(snapshot);
    return record;
}

static asio::awaitable<void> checkProvisional(Fixture &fixture)
{
    for (int i = 1; i <= 6; ++i) {
        fixture.writeRecord(snapshot(4, 1));
    }
    fixture.log.store().truncate("config", 5);
    ConfigServiceOptions options = optionsFor("a");
    options.provisionalTimeout = 700ms;
    options.retention = 5s; // due keys are looked for every 100 ms
    Instance &instance = fixture.add(options);
    co_await pauseFor(400ms);
    cr_assert_not(instance.service.ready());
    co_await waitUntil([&] { return instance.service.ready(); });
    cr_assert_eq(instance.service.contract("mtkvari")->revision, 4);
    cr_assert_eq(instance.metrics.value("hyssop_config_provisional_decisions_total"), 1);
    // A snapshot is written soon after, so that later readers have an exact base.
    co_await waitUntil([&] { return fixture.log.store().streams().at("config").head > 6; });
}

// Guards against an instance that is ready too early, with a possibly outdated state, and against one that never is.
Test(configservice, provisionalStateWaitsForPeersFirst)
{
    Fixture fixture;
    runToEnd(fixture.context, checkProvisional(fixture));
}

static asio::awaitable<void> checkPeerVerification(Fixture &fixture)
{
    ConfigService &service = fixture.add(optionsFor("a")).service;
    co_await waitUntil([&] { return service.ready(); });
    co_await service.apply(change("domain/east-a", 0, "a", "in"));
    fixture.log.faults().available = false;
    co_await pauseFor(1500ms);
    const TimePoint now = std::chrono::steady_clock::now();
    const auto ageFromLog = *service.headAge(now);
    cr_assert(ageFromLog >= 900ms);
    service.peerHeadReceived(1, -1ms, now);
    service.peerHeadReceived(2, 0ms, now);
    service.peerHeadReceived(1, 60s, now);
    cr_assert(*service.headAge(now) == ageFromLog);
    service.peerHeadReceived(1, 100ms, now);
    cr_assert(*service.headAge(now) == 100ms);
}

// Guards against tasks that are started in a failure domain that was taken out of service: a peer's head shows that the
// state is up to date only if it was read here too.
Test(configservice, peerHeadsCountOnlyUpToTheAppliedHead)
{
    Fixture fixture;
    runToEnd(fixture.context, checkPeerVerification(fixture));
}
