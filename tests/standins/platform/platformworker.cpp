#include "platformworker.h"

#include <utils/endpoint.h>

#include <boost/algorithm/string/join.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <sstream>

namespace Hyssop::StandIn {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::int64_t MaximumLeaseMs = 6000;
constexpr std::chrono::milliseconds CheckInterval{5};
constexpr std::chrono::milliseconds DefaultTaskTime{100};

std::chrono::milliseconds taskTime(const std::string &payload)
{
    const std::size_t position = payload.find("ms=");
    return position == std::string::npos ? DefaultTaskTime : std::chrono::milliseconds(std::stoi(payload.substr(position + 3)));
}

} // namespace

int PlatformWorker::Run::percent() const
{
    return static_cast<int>(100 * (std::chrono::steady_clock::now() - startedAt) / (dueAt - startedAt));
}

PlatformWorker::PlatformWorker(asio::any_io_executor executor, const asio::ip::tcp::endpoint &endpoint, std::string id, std::string advertisedAddress)
    : m_executor(executor)
    , m_id(std::move(id))
    , m_advertisedAddress(std::move(advertisedAddress))
    , m_startedAtUnixMs(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , m_server(std::move(executor), endpoint, [this](const HttpRequest &request) { return handle(request); })
{
}

std::string PlatformWorker::registration(std::int64_t sequence) const
{
    return json::serialize(json::object{{"service", "hall"},
                                        {"address", m_advertisedAddress.empty() ? formatEndpoint(localEndpoint()) : m_advertisedAddress},
                                        {"zone", "a"},
                                        {"version", "v1"},
                                        {"slots", 8},
                                        {"state", "ready"},
                                        {"coldLeftMs", 0},
                                        {"capacity", {{"cpu", 8000}, {"memMb", 16000}, {"gpu", 0}}},
                                        {"labels", {"a", "r1-1"}},
                                        {"clockMs", clockMs()},
                                        {"born", m_startedAtUnixMs},
                                        {"sequence", sequence}});
}

std::string PlatformWorker::startLines() const
{
    return boost::algorithm::join(m_starts, "\n");
}

void PlatformWorker::advance()
{
    if (clockMs() >= m_leaseEndMs) {
        for (End &end : m_ends) {
            end.leaseExpired = true;
        }
    }
    const auto runs = m_runs;
    for (const auto &[task, run] : runs) {
        if (clockMs() >= m_leaseEndMs) {
            finish(task, "lapsed");
        } else if (std::chrono::steady_clock::now() >= run.dueAt) {
            finish(task, "done");
        }
    }
}

asio::awaitable<HttpResponse> PlatformWorker::handle(const HttpRequest &request)
{
    const auto expected = request["X-Hyssopferry-Expect-Instance"];
    if (!expected.empty() && expected != m_id) {
        co_return makeResponse(request, static_cast<http::status>(421), "");
    }
    advance();
    if (request.target() == "/starts") {
        co_return makeResponse(request, http::status::ok, startLines());
    }
    if (request.target() == "/runs") {
        co_return makeResponse(request, http::status::ok, runLines());
    }
    if (request.target() == "/restart") {
        restart();
        co_return makeResponse(request, http::status::ok, "");
    }
    const std::int64_t token = json::parse(request.body()).at("fencingToken").to_number<std::int64_t>();
    if (token < m_highestToken) {
        co_return reject(request, "fence");
    }
    m_highestToken = token;
    if (request.target() == "/v1/run-start") {
        co_return startRun(request, request.body());
    }
    if (request.target() == "/v1/run-stop") {
        co_return stopRun(request, request.body());
    }
    if (request.target() == "/v1/hold") {
        co_return co_await poll(request, request.body());
    }
    co_return makeResponse(request, http::status::ok, json::serialize(json::object{{"clockMs", clockMs()}}), "application/json");
}

HttpResponse PlatformWorker::startRun(const HttpRequest &request, const std::string &body)
{
    const json::value command = json::parse(body);
    const std::string task(command.at("task").as_string());
    const int run = command.at("run").to_number<int>();
    const auto leaseEnd = command.at("deadlineMs").to_number<std::int64_t>();
    if (leaseEnd <= clockMs()) {
        return reject(request, "late");
    }
    extendLease(leaseEnd);
    const auto current = m_runs.find(task);
    const bool isRunning = current != m_runs.end() && current->second.number == run;
    const auto ended = m_highestEndedRun.find(task);
    if (!isRunning && (current != m_runs.end() || (ended != m_highestEndedRun.end() && run <= ended->second))) {
        return reject(request, "old");
    }
    if (!isRunning) {
        const Time now = std::chrono::steady_clock::now();
        m_runs[task] = {run, now, now + taskTime(std::string(command.at("spec").as_string())), m_history.size()};
        m_history.push_back({task, run, now, Time(), "running", false});
        m_starts.push_back(task + " " + std::to_string(run));
    }
    return makeResponse(request, http::status::ok, json::serialize(json::object{{"clockMs", clockMs()}}), "application/json");
}

HttpResponse PlatformWorker::stopRun(const HttpRequest &request, const std::string &body)
{
    const json::value command = json::parse(body);
    const std::string task(command.at("task").as_string());
    const int run = command.at("run").to_number<int>();
    const auto current = m_runs.find(task);
    if (current != m_runs.end() && current->second.number <= run) {
        finish(task, "stopped");
    }
    m_highestEndedRun[task] = std::max(m_highestEndedRun[task], run);
    return makeResponse(request, http::status::ok, json::serialize(json::object{{"clockMs", clockMs()}}), "application/json");
}

asio::awaitable<HttpResponse> PlatformWorker::poll(const HttpRequest &request, const std::string &body)
{
    const json::value command = json::parse(body);
    if (const json::value *leaseEnd = command.as_object().if_contains("deadlineMs")) {
        extendLease(leaseEnd->to_number<std::int64_t>());
    }
    const auto lastSeen = command.at("lastSeen").to_number<std::int64_t>();
    for (const End &end : m_ends) {
        m_history[end.history].acknowledged = m_history[end.history].acknowledged || (end.sequence <= lastSeen && !end.leaseExpired);
    }
    std::erase_if(m_ends, [&](const End &end) { return end.sequence <= lastSeen; });
    const json::value *wait = command.as_object().if_contains("waitMs");
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait != nullptr ? wait->to_number<int>() : 0);
    asio::steady_timer timer(m_executor);
    while (m_ends.empty() && std::chrono::steady_clock::now() < until) {
        timer.expires_after(CheckInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        advance();
    }
    json::array runningRows;
    for (const auto &[task, run] : m_runs) {
        runningRows.push_back(json::array{task, run.number, "", run.percent(), 1000});
    }
    json::array finishedRows;
    for (const End &end : m_ends) {
        finishedRows.push_back(json::array{end.sequence, end.task, end.run, end.endReason, ""});
    }
    co_return makeResponse(
        request,
        http::status::ok,
        json::serialize(json::object{{"clockMs", clockMs()}, {"born", m_startedAtUnixMs}, {"running", runningRows}, {"finished", finishedRows}}),
        "application/json");
}

void PlatformWorker::finish(const std::string &task, const std::string &endReason)
{
    const Run ended = m_runs.at(task);
    m_runs.erase(task);
    m_highestEndedRun[task] = std::max(m_highestEndedRun[task], ended.number);
    m_ends.push_back({++m_lastEndSequence, task, ended.number, endReason, ended.history, false});
    m_history[ended.history].endedAt = std::chrono::steady_clock::now();
    m_history[ended.history].endReason = endReason;
}

std::string PlatformWorker::runLines() const
{
    const auto milliseconds = [](Time time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count(); };
    std::ostringstream lines;
    for (const History &run : m_history) {
        lines << run.task << ' ' << run.run << ' ' << milliseconds(run.startedAt) << ' ' << milliseconds(run.endedAt) << ' ' << run.endReason << ' '
              << run.acknowledged << '\n';
    }
    return lines.str();
}

void PlatformWorker::restart()
{
    const auto runs = m_runs;
    for (const auto &[task, run] : runs) {
        finish(task, "crashed");
    }
    m_ends.clear();
    m_lastEndSequence = 0;
    m_highestEndedRun.clear();
    m_highestToken = 0;
    m_leaseEndMs = 0;
    m_startedAt = std::chrono::steady_clock::now();
    m_startedAtUnixMs = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::int64_t PlatformWorker::clockMs() const
{
    return 1000 + std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_startedAt).count();
}

void PlatformWorker::extendLease(std::int64_t endMs)
{
    m_leaseEndMs = std::max(m_leaseEndMs, std::min(endMs, clockMs() + MaximumLeaseMs));
}

HttpResponse PlatformWorker::reject(const HttpRequest &request, const char *reason) const
{
    return makeResponse(request, http::status::conflict, json::serialize(json::object{{"clockMs", clockMs()}, {"reason", reason}}), "application/json");
}

} // namespace Hyssop::StandIn
