#include "workermodel.h"

#include <http/httpserver.h>
#include <utils/endpoint.h>
#include <utils/quantity.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <iostream>
#include <map>
#include <memory>

using namespace Hyssop;
using namespace Hyssop::StandIn;

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace po = boost::program_options;

constexpr std::chrono::milliseconds AdvanceInterval{20};

/// A worker with an HTTP listener for the platform's interface and one for each service task.
class WorkerProcess
{
public:
    WorkerProcess(asio::io_context &context, const asio::ip::tcp::endpoint &endpoint, WorkerOptions options)
        : m_context(context)
        , m_model(std::move(options), std::chrono::steady_clock::now())
        , m_server(context.get_executor(), endpoint, [this](const HttpRequest &request) { return handle(request); })
    {
        m_model.setServiceHooks([this](const Task &task) { return startService(task); }, [this](const Task &task) { stopService(task); });
    }

    void start()
    {
        m_server.start();
        asio::co_spawn(m_context, advanceRepeatedly(), asio::detached);
        std::cout << "listening on " << formatEndpoint(m_server.localEndpoint()) << std::endl;
    }

private:
    static std::string serviceKey(const Task &task) { return task.jobId + "/" + std::to_string(task.attempt); }

    std::string startService(const Task &task)
    {
        const asio::ip::tcp::endpoint endpoint(m_server.localEndpoint().address(), 0);
        auto server = std::make_unique<HttpServer>(
            m_context.get_executor(), endpoint, [this, job = task.jobId](const HttpRequest &request) { return serve(request, job); });
        server->start();
        std::string address = formatEndpoint(server->localEndpoint());
        m_services[serviceKey(task)] = std::move(server);
        return address;
    }

    void stopService(const Task &task) { m_services.erase(serviceKey(task)); }

    /// Handles a request to a target: the header X-Delay-Ms delays the response, X-Effect counts an execution under its value.
    asio::awaitable<HttpResponse> serve(HttpRequest request, std::string job)
    {
        if (request.target() == "/healthz") {
            co_return makeResponse(request, m_model.leaving() ? http::status::service_unavailable : http::status::ok, "");
        }
        if (const auto effect = request.find("X-Effect"); effect != request.end()) {
            ++m_effects[std::string(effect->value())];
        }
        if (const auto delay = request.find("X-Delay-Ms"); delay != request.end()) {
            asio::steady_timer timer(m_context, std::chrono::milliseconds(std::stoi(std::string(delay->value()))));
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        const json::object body{{"job", job}, {"path", std::string(request.target())}, {"body", request.body()}};
        co_return makeResponse(request, http::status::ok, json::serialize(body), "application/json");
    }

    asio::awaitable<HttpResponse> handle(HttpRequest request)
    {
        const TimePoint now = std::chrono::steady_clock::now();
        m_model.advance(now);
        boost::system::error_code error;
        const json::value parsed = request.body().empty() ? json::value(json::object()) : json::parse(request.body(), error);
        if (error || !parsed.is_object()) {
            co_return makeResponse(request, http::status::bad_request, "the body is not a JSON object\n");
        }
        try {
            co_return respond(request, parsed.get_object(), now);
        } catch (const std::exception &exception) {
            co_return makeResponse(request, http::status::bad_request, exception.what());
        }
    }

    HttpResponse respond(const HttpRequest &request, const json::object &body, TimePoint now)
    {
        const std::string path(request.target());
        json::object result;
        if (path == "/lease") {
            result = m_model.renewLease(body, now);
        } else if (path == "/tasks/start") {
            result = m_model.start(body, now);
        } else if (path.starts_with("/tasks/")) {
            result = m_model.command(path.substr(7), body, now);
        } else if (path == "/status") {
            result = m_model.status(now);
        } else if (path == "/history") {
            result = m_model.history();
            result["effects"] = json::value_from(m_effects);
        } else if (path == "/faults") {
            setFaults(body);
        } else {
            return makeResponse(request, http::status::not_found, "unknown path\n");
        }
        HttpResponse response = makeResponse(request, http::status::ok, json::serialize(result), "application/json");
        if (m_responsesToLose > 0 && path.starts_with("/tasks/")) {
            --m_responsesToLose;
            // The scheduler treats a response that it can't parse like a lost one.
            response.body() = "lost";
        }
        return response;
    }

    void setFaults(const json::object &body)
    {
        if (const json::value *leaving = body.if_contains("leaving")) {
            m_model.setLeaving(leaving->as_bool());
        }
        if (const json::value *failEverything = body.if_contains("failEverything")) {
            m_model.setFailEverything(failEverything->as_bool());
        }
        if (const json::value *responsesToLose = body.if_contains("loseAnswers")) {
            m_responsesToLose = responsesToLose->to_number<int>();
        }
    }

    asio::awaitable<void> advanceRepeatedly()
    {
        asio::steady_timer timer(m_context);
        while (true) {
            timer.expires_after(AdvanceInterval);
            co_await timer.async_wait(asio::use_awaitable);
            m_model.advance(std::chrono::steady_clock::now());
        }
    }

    asio::io_context &m_context;
    WorkerModel m_model;
    HttpServer m_server;
    std::map<std::string, std::unique_ptr<HttpServer>> m_services;
    std::map<std::string, int> m_effects;
    int m_responsesToLose = 0;
};

int main(int argc, char **argv)
{
    po::options_description options("Stand-in for a platform worker");
    options.add_options()("help", "Show this help.")("listen", po::value<std::string>()->default_value("127.0.0.1:0"), "IP-ADDRESS:PORT to listen on.")(
        "name", po::value<std::string>()->default_value("worker"), "Name of the worker.")(
        "rack", po::value<std::string>()->default_value("rack-1"), "Rack of the worker.")("cores", po::value<std::string>()->default_value("8"), "Cores.")(
        "memory", po::value<std::string>()->default_value("16 GB"), "Memory.")("accelerators", po::value<int>()->default_value(0), "Accelerators.")(
        "slots", po::value<int>()->default_value(8), "Task slots.");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
    } catch (const po::error &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
    if (values.contains("help")) {
        std::cout << options;
        return 0;
    }
    auto endpoint = capture([&] { return parseEndpoint(values["listen"].as<std::string>()); });
    auto cores = capture([&] { return parseMilliCores(values["cores"].as<std::string>()); });
    auto memory = capture([&] { return parseBytes(values["memory"].as<std::string>()); });
    if (errorOf(endpoint) != nullptr || errorOf(cores) != nullptr || errorOf(memory) != nullptr) {
        std::cerr << "invalid address, cores or memory\n";
        return 2;
    }
    WorkerOptions worker;
    worker.name = values["name"].as<std::string>();
    worker.rack = values["rack"].as<std::string>();
    worker.capacity = {*valueOf(cores), *valueOf(memory), values["accelerators"].as<int>(), values["slots"].as<int>()};
    asio::io_context context;
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    WorkerProcess process(context, *valueOf(endpoint), worker);
    process.start();
    context.run();
    return 0;
}
