#include <support/childprocess.h>
#include <support/httpcall.h>
#include <support/httpchannel.h>

#include <boost/json.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

/// Three instances of hyssop-node, a stand-in for the platform's store, and workers.
class NodeCluster
{
public:
    explicit NodeCluster(int workers = 3)
        : m_folder("/tmp/hyssop-nodes-" + std::to_string(::getpid()))
        , m_platform("standin-platform", {"--workers", std::to_string(workers)}, m_folder + "-platform.log")
    {
        store = m_platform.readAddress();
        for (int index = 0; index < workers; ++index) {
            workerAddresses.push_back(m_platform.readAddress());
        }
        for (int index = 0; index < 3; ++index) {
            start(index);
        }
        waitUntilReady();
    }

    void start(int index)
    {
        const std::string name = "node-" + std::to_string(index);
        std::ofstream(settingsFile(index)) << "[instance]\nname = " << name << "\nfailure_domain = a\ncallers = " << callers(index)
                                           << "\nready = " << address(index, 1) << "\nadmin = " << address(index, 2) << "\n[store]\naddress = " << store
                                           << "\n[shutdown]\ngrace = 4 s\n";
        m_nodes.erase(index);
        m_nodes.emplace(index, ChildProcess("hyssop-node", {"--config", settingsFile(index)}, m_folder + "-" + name + ".log"));
    }

    ~NodeCluster()
    {
        m_nodes.clear();
        for (int index = 0; index < 3; ++index) {
            std::remove(settingsFile(index).c_str());
            std::remove((m_folder + "-node-" + std::to_string(index) + ".log").c_str());
        }
        std::remove((m_folder + "-platform.log").c_str());
    }

    ChildProcess &node(int index) { return m_nodes.at(index); }

    HttpCallResult call(int index, const std::string &method, const std::string &path, const std::string &body = {}) const
    {
        return httpCall(callers(index), method, path, body, {{"Host", "queue.example"}});
    }

    int submit(int index, const std::string &jobId, const std::string &payload = "ms=100", int tasks = 2) const
    {
        const std::string steps =
            R"([{"count":)" + std::to_string(tasks) + R"(,"cpu":500,"memMb":100,"estimateMs":100},{"count":1,"cpu":500,"memMb":100,"after":[0]}])";
        return call(index, "POST", "/batch/" + jobId, R"({"spec":")" + payload + R"(","steps":)" + steps + "}").status;
    }

    std::string state(int index, const std::string &jobId) const
    {
        const HttpCallResult response = call(index, "GET", "/batch/" + jobId);
        return response.status == 200 ? std::string(boost::json::parse(response.body).at("state").as_string()) : "status " + std::to_string(response.status);
    }

    bool waitForState(int index, const std::string &jobId, const std::string &expected, std::chrono::seconds timeout) const
    {
        const auto until = std::chrono::steady_clock::now() + timeout;
        while (state(index, jobId) != expected) {
            if (std::chrono::steady_clock::now() >= until) {
                return false;
            }
            std::this_thread::sleep_for(50ms);
        }
        return true;
    }

    /// Returns the instance that owns the job topic; -1 if none reports that it does.
    int owner() const
    {
        for (int index = 0; index < 3; ++index) {
            const HttpCallResult response = httpCall(address(index, 2), "GET", "/metrics");
            if (response.body.find("hyssop_is_owner 1") != std::string::npos) {
                return index;
            }
        }
        return -1;
    }

    int waitForOwner() const
    {
        for (int attempt = 0; attempt < 200; ++attempt) {
            if (const int index = owner(); index >= 0) {
                return index;
            }
            std::this_thread::sleep_for(50ms);
        }
        return -1;
    }

    void controlStore(const std::string &query) const { httpCall(store, "POST", "/control?" + query); }

    /// Returns how often each task was started.
    std::map<std::string, int> startCounts() const
    {
        std::map<std::string, int> counts;
        for (const std::string &worker : workerAddresses) {
            std::istringstream lines(httpCall(worker, "GET", "/starts").body);
            std::string task;
            int run = 0;
            while (lines >> task >> run) {
                ++counts[task];
            }
        }
        return counts;
    }

    std::string store;
    std::vector<std::string> workerAddresses;

    static std::string callers(int index) { return address(index, 0); }

private:
    // Each test process uses its own block of ports, below the range that the system assigns to outgoing connections.
    static std::string address(int index, int offset) { return "127.0.0.1:" + std::to_string(20000 + ::getpid() % 1200 * 10 + index * 3 + offset); }
    std::string settingsFile(int index) const { return m_folder + "-" + std::to_string(index) + ".ini"; }

    void waitUntilReady() const
    {
        for (int index = 0; index < 3; ++index) {
            for (int attempt = 0; attempt < 200 && httpCall(address(index, 1), "GET", "/v1/ready").status != 200; ++attempt) {
                std::this_thread::sleep_for(50ms);
            }
        }
    }

    std::string m_folder;
    ChildProcess m_platform;
    std::map<int, ChildProcess> m_nodes;
};

void assertStartedOnce(const NodeCluster &cluster)
{
    for (const auto &[task, count] : cluster.startCounts()) {
        cr_assert_eq(count, 1, "%s was started %d times", task.c_str(), count);
    }
}

constexpr const char *QueueHost = "queue.example";
constexpr auto CallInterval = 50ms;
constexpr int CallsAfterTheSignal = 90; // longer than the grace time
constexpr auto ReadTime = 200ms; // after which the instance has read a request for sure
// Larger than the workers, so that an instance reads the job topic to the end before it rejects the job.
constexpr const char *LargeServingJob = R"({"spec":"","steps":[{"count":24,"cpu":8000,"memMb":100,"longRunning":true}]})";
constexpr const char *SmallJob = R"({"spec":"ms=50","steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":50}]})";

/// Sends a request.
using RequestSender = std::function<ChannelCallResult(HttpChannel &channel, const std::string &jobId)>;

ChannelCallResult submitLargeServingJob(HttpChannel &channel, const std::string &jobId)
{
    return channel.call("POST", "/batch/" + jobId, QueueHost, LargeServingJob);
}

/// Sends requests of several kinds, in turn.
ChannelCallResult sendAnyRequest(HttpChannel &channel, const std::string &jobId)
{
    switch (jobId.back() % 4) {
    case 0:
        return channel.call("DELETE", "/batch/" + jobId, QueueHost);
    case 1:
        return submitLargeServingJob(channel, jobId);
    case 2:
        return channel.call("POST", "/batch/" + jobId, QueueHost, SmallJob);
    default:
        return channel.call("GET", "/batch/" + jobId, QueueHost);
    }
}

/// Stops an instance while callers use connections that they have opened before, until it is gone. Returns the number of requests that it
/// has read and not answered.
int requestsLostAtAStop(NodeCluster &cluster, int instance, const RequestSender &sendRequest)
{
    std::vector<std::unique_ptr<HttpChannel>> channels;
    channels.reserve(CallsAfterTheSignal);
    for (int number = 0; number < CallsAfterTheSignal; ++number) {
        channels.push_back(std::make_unique<HttpChannel>(NodeCluster::callers(instance)));
    }
    std::this_thread::sleep_for(200ms);
    cluster.node(instance).sendSignal(SIGTERM);
    std::vector<ChannelCallResult> results(channels.size());
    std::vector<std::thread> callers;
    callers.reserve(CallsAfterTheSignal);
    for (int number = 0; number < CallsAfterTheSignal; ++number) {
        callers.emplace_back([&channels, &results, &sendRequest, number] {
            std::this_thread::sleep_for(number * CallInterval);
            results[number] = sendRequest(*channels[number], "00000000000" + std::to_string(10000 + number));
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    cr_expect_eq(cluster.node(instance).waitForExit(2s), 0);
    return static_cast<int>(std::ranges::count_if(results, [](const ChannelCallResult &result) { return result.status == 0 && result.time > ReadTime; }));
}

} // namespace

Test(node, aSubmittedJobCompletes, .timeout = 60)
{
    NodeCluster cluster;
    cr_assert_eq(cluster.submit(0, "00000000000000a1"), 200);
    cr_assert_eq(cluster.submit(1, "00000000000000a1"), 200, "resubmitting a job id creates no second job");
    cr_assert(cluster.waitForState(2, "00000000000000a1", "completed", 15s));
    cr_assert_eq(cluster.startCounts().size(), 3);
    assertStartedOnce(cluster);
    cr_assert_eq(cluster.call(0, "GET", "/batch/00000000000000ff").status, 410);
    cr_assert_eq(cluster.call(0, "GET", "/elsewhere/1").status, 404);
    cr_assert_eq(cluster.call(0, "POST", "/batch/00000000000000a2", "{").status, 400);
}

Test(node, aRunningJobIsCancelled, .timeout = 60)
{
    NodeCluster cluster;
    cr_assert_eq(cluster.submit(0, "00000000000000b1", "ms=60000"), 200);
    cr_assert(cluster.waitForState(1, "00000000000000b1", "running", 15s));
    cr_assert_eq(cluster.call(2, "DELETE", "/batch/00000000000000b1").status, 200);
    cr_assert(cluster.waitForState(0, "00000000000000b1", "cancelled", 5s));
    cr_assert_eq(cluster.call(2, "DELETE", "/batch/00000000000000b9").status, 410);
}

Test(node, noTaskIsLostOrRepeatedWhenTheOwnerIsKilled, .timeout = 60)
{
    NodeCluster cluster;
    const int owner = cluster.waitForOwner();
    cr_assert_geq(owner, 0);
    const int other = (owner + 1) % 3;
    cr_assert_eq(cluster.submit(other, "00000000000000c1", "ms=3000", 4), 200);
    cr_assert(cluster.waitForState(other, "00000000000000c1", "running", 10s));
    cluster.node(owner).kill();
    cr_assert_eq(cluster.submit(other, "00000000000000c2"), 200);
    cr_assert(cluster.waitForState(other, "00000000000000c1", "completed", 25s));
    cr_assert(cluster.waitForState(other, "00000000000000c2", "completed", 10s));
    assertStartedOnce(cluster);
}

Test(node, aResumedOwnerRepeatsNoTask, .timeout = 90)
{
    NodeCluster cluster;
    const int owner = cluster.waitForOwner();
    cr_assert_geq(owner, 0);
    const int other = (owner + 1) % 3;
    cr_assert_eq(cluster.submit(other, "00000000000000d1", "ms=2000", 4), 200);
    cr_assert(cluster.waitForState(other, "00000000000000d1", "running", 10s));
    cluster.node(owner).sendSignal(SIGSTOP);
    cr_assert(cluster.waitForState(other, "00000000000000d1", "completed", 30s));
    cluster.node(owner).sendSignal(SIGCONT);
    cr_assert_eq(cluster.submit(other, "00000000000000d2"), 200);
    cr_assert(cluster.waitForState(owner, "00000000000000d2", "completed", 15s));
    assertStartedOnce(cluster);
}

Test(node, aStoreOutageIsReportedAndSurvived, .timeout = 90)
{
    NodeCluster cluster;
    cr_assert_eq(cluster.submit(0, "00000000000000e1", "ms=6000", 3), 200);
    cr_assert(cluster.waitForState(1, "00000000000000e1", "running", 10s));
    cluster.controlStore("down=1");
    std::this_thread::sleep_for(300ms);
    cr_assert_eq(cluster.submit(0, "00000000000000e2"), 503, "a job that can't be stored is rejected");
    std::this_thread::sleep_for(4s);
    cluster.controlStore("down=0&lost=0.3&expire=1");
    cr_assert(cluster.waitForState(1, "00000000000000e1", "completed", 30s));
    cr_assert_eq(cluster.submit(2, "00000000000000e3"), 200);
    cr_assert(cluster.waitForState(1, "00000000000000e3", "completed", 15s));
    assertStartedOnce(cluster);
    cr_assert_eq(cluster.state(0, "00000000000000e2"), "status 410", "a rejected job never runs");
}

Test(node, aPlannedStopTransfersTheTopic, .timeout = 60)
{
    NodeCluster cluster;
    const int owner = cluster.waitForOwner();
    cr_assert_geq(owner, 0);
    const int other = (owner + 1) % 3;
    cr_assert_eq(cluster.submit(other, "00000000000000f1", "ms=2500", 3), 200);
    cr_assert(cluster.waitForState(other, "00000000000000f1", "running", 10s));
    cluster.node(owner).sendSignal(SIGTERM);
    cr_assert_eq(cluster.node(owner).waitForExit(6s), 0);
    cr_assert(cluster.waitForState(other, "00000000000000f1", "completed", 15s));
    assertStartedOnce(cluster);
}

// Guards against a process that is still there at the end of its grace time, because a static destructor of a library waits for a thread.
Test(node, aPlannedStopDoesNotWaitForStaticDestructors, .timeout = 60)
{
    ::setenv("LD_PRELOAD", HYSSOP_BLOCKING_EXIT_LIBRARY, 1);
    NodeCluster cluster;
    ::unsetenv("LD_PRELOAD");
    cluster.node(0).sendSignal(SIGTERM);
    cr_assert_eq(cluster.node(0).waitForExit(6s), 0);
}

// Guards against requests that were read and never answered, because the process ends while it still reads requests from open connections.
Test(node, aPlannedStopAnswersAllRequestsThatWereRead, .timeout = 90)
{
    NodeCluster cluster;
    const int owner = cluster.waitForOwner();
    cr_assert_geq(owner, 0);
    cr_assert_eq(
        cluster.call(0, "POST", "/batch/0000000000000001", R"({"spec":"lasts=1;ms=60000","steps":[{"count":3,"cpu":7000,"memMb":100,"longRunning":true}]})")
            .status,
        200);
    std::this_thread::sleep_for(3s); // the room for serving tasks is published
    const int lostByStandby = requestsLostAtAStop(cluster, (owner + 1) % 3, submitLargeServingJob);
    cr_expect_eq(lostByStandby, 0, "a standby has left %d requests without a response", lostByStandby);
    const int lostByOwner = requestsLostAtAStop(cluster, owner, submitLargeServingJob);
    cr_expect_eq(lostByOwner, 0, "the owner has left %d requests without a response", lostByOwner);
    const int lostOfSeveralKinds = requestsLostAtAStop(cluster, (owner + 2) % 3, sendAnyRequest);
    cr_expect_eq(lostOfSeveralKinds, 0, "of several kinds, %d requests were left without a response", lostOfSeveralKinds);
}
