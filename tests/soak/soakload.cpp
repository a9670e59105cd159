#include "soakload.h"

#include "soakcluster.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>

namespace Hyssop::Soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds SubmitInterval{120};
constexpr std::chrono::milliseconds CallTimeout{3000};
constexpr std::chrono::milliseconds RetryDelay{200};
// Time after which every node that responds must know an accepted job.
constexpr std::chrono::milliseconds VisibilityTimeout{3000};
constexpr int MaximumAttempts = 5;
constexpr int MaximumInFlight = 60;
constexpr int JobsPerCancellation = 8;
constexpr int JobsPerUnknownCancellation = 3;
constexpr std::chrono::milliseconds TickInterval{10};
// After which a node that stops as planned has read a request, and owes a response.
constexpr std::chrono::milliseconds ReadTime{200};

asio::awaitable<void> pauseFor(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

bool isRejection(unsigned status)
{
    return status == 429 || status == 503;
}

bool isEnded(const std::string &state)
{
    return state == "completed" || state == "failed" || state == "cancelled";
}

} // namespace

SoakLoad::SoakLoad(asio::any_io_executor executor, SoakCluster &cluster, std::uint32_t seed)
    : m_executor(executor)
    , m_cluster(cluster)
    , m_http(std::move(executor))
    , m_random(seed)
{
}

asio::awaitable<void> SoakLoad::run()
{
    for (int number = 1; !m_stopped; ++number) {
        co_await pauseFor(SubmitInterval);
        if (m_inFlight >= MaximumInFlight) {
            continue;
        }
        std::array<char, 17> jobId{};
        std::snprintf(jobId.data(), jobId.size(), "%016x", static_cast<unsigned>(number));
        asio::co_spawn(m_executor, submit(jobId.data(), randomBody(), randomBelow(JobsPerCancellation) == 0), asio::detached);
        if (number % JobsPerUnknownCancellation == 0) {
            asio::co_spawn(m_executor, cancelUnknownJob("unknown" + std::to_string(number)), asio::detached);
        }
    }
}

asio::awaitable<void> SoakLoad::recordTicks()
{
    while (!m_stopped) {
        m_tickAt = std::chrono::steady_clock::now();
        co_await pauseFor(TickInterval);
    }
}

asio::awaitable<void> SoakLoad::submit(std::string jobId, std::string body, bool cancelAfterwards)
{
    ++m_inFlight;
    SoakJob &job = m_jobs[jobId];
    for (int attempt = 0; attempt < MaximumAttempts && !job.accepted; ++attempt) {
        const unsigned status = co_await call(http::verb::post, jobId, body);
        job.accepted = status == 200;
        job.maybeAccepted = job.maybeAccepted || (status != 200 && !isRejection(status));
        job.acceptedAt = std::chrono::steady_clock::now();
        if (!job.accepted) {
            co_await pauseFor(RetryDelay);
        }
    }
    if (job.accepted && cancelAfterwards) {
        co_await pauseFor(std::chrono::milliseconds(randomBelow(1000)));
        co_await cancel(jobId);
    }
    --m_inFlight;
}

asio::awaitable<void> SoakLoad::cancel(std::string jobId)
{
    SoakJob &job = m_jobs[jobId];
    job.maybeCancelled = true;
    for (int attempt = 0; attempt < MaximumAttempts && !job.cancelAcknowledged; ++attempt) {
        const unsigned status = co_await call(http::verb::delete_, jobId, {});
        job.cancelAcknowledged = status == 200;
        if (status == 410) {
            violations.push_back("an accepted job " + jobId + " was not found when it was cancelled");
        }
        co_await pauseFor(RetryDelay);
    }
}

asio::awaitable<void> SoakLoad::cancelUnknownJob(std::string jobId)
{
    ++m_inFlight;
    const unsigned status = co_await call(http::verb::delete_, jobId, {});
    if (status == 200) {
        violations.push_back("a job that nobody has submitted was cancelled: " + jobId);
    }
    --m_inFlight;
}

void SoakLoad::checkLostResponse(int node, const Error &error, TimePoint sentAt, const std::string &jobId)
{
    // The connection may have ended at any time since the last tick.
    if (error.code == ErrorCode::Closed && m_cluster.isStopping(node) && m_tickAt - sentAt > ReadTime) {
        violations.push_back("a planned stop of node " + std::to_string(node) + " left a request on job " + jobId + " without a response");
    }
}

asio::awaitable<bool> SoakLoad::pollJobStates()
{
    bool allEnded = m_inFlight == 0;
    for (auto &[jobId, job] : m_jobs) {
        if (!job.accepted || isEnded(job.state)) {
            continue;
        }
        const bool mustBeVisible = std::chrono::steady_clock::now() - job.acceptedAt > VisibilityTimeout;
        std::string responseBody;
        const unsigned status = co_await call(http::verb::get, jobId, {}, &responseBody);
        if (status == 410 && mustBeVisible) {
            violations.push_back("an accepted job " + jobId + " was not found");
        }
        if (status == 200) {
            job.state = json::parse(responseBody).at("state").as_string();
        }
        allEnded = allEnded && isEnded(job.state);
    }
    co_return allEnded;
}

asio::awaitable<unsigned> SoakLoad::call(http::verb method, const std::string &jobId, const std::string &body, std::string *responseBody)
{
    HttpRequest request(method, "/batch/" + jobId, 11);
    request.body() = body;
    request.set(http::field::host, "queue.example");
    request.set(http::field::content_type, "application/json");
    request.set("X-Hyssopferry-Request-Deadline", std::to_string(CallTimeout.count()));
    const int node = randomBelow(m_cluster.nodeCount());
    const TimePoint sentAt = std::chrono::steady_clock::now();
    auto outcome = co_await m_http.send(m_cluster.callersAddress(node), std::move(request), CallTimeout);
    if (const Error *error = errorOf(outcome)) {
        checkLostResponse(node, *error, sentAt, jobId);
        co_return 0;
    }
    const HttpResponse *response = valueOf(outcome);
    if (responseBody != nullptr) {
        *responseBody = response->body();
    }
    co_return response->result_int();
}

std::string SoakLoad::randomBody()
{
    json::array steps;
    const int count = 1 + randomBelow(2);
    for (int step = 0; step < count; ++step) {
        json::object row{{"count", 1 + randomBelow(4)}, {"cpu", 200 + randomBelow(800)}, {"memMb", 100}, {"estimateMs", 500}};
        if (step > 0) {
            row["after"] = {step - 1};
        }
        steps.push_back(std::move(row));
    }
    return json::serialize(json::object{{"spec", "ms=" + std::to_string(100 + randomBelow(1500))}, {"steps", std::move(steps)}});
}

int SoakLoad::randomBelow(int count)
{
    return static_cast<int>(m_random() % static_cast<std::uint32_t>(count));
}

} // namespace Hyssop::Soak
