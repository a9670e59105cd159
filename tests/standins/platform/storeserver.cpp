#include "storeserver.h"

#include "urlquery.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Hyssop::StandIn {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds ReadCheckInterval{5};

std::int64_t number(const std::map<std::string, std::string> &query, const std::string &name, std::int64_t defaultValue)
{
    const auto entry = query.find(name);
    return entry != query.end() ? std::stoll(entry->second) : defaultValue;
}

std::string text(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto entry = query.find(name);
    return entry != query.end() ? entry->second : std::string();
}

HttpResponse makeHttpResponse(const HttpRequest &request, const StoreResponse &response)
{
    return makeResponse(request, static_cast<http::status>(response.status), response.body, "application/json");
}

} // namespace

StoreServer::StoreServer(asio::any_io_executor executor, const asio::ip::tcp::endpoint &endpoint)
    : m_executor(executor)
    , m_server(std::move(executor), endpoint, [this](const HttpRequest &request) { return handle(request); })
{
}

asio::awaitable<HttpResponse> StoreServer::handle(const HttpRequest &request)
{
    const std::string target(request.target().data(), request.target().size());
    const std::string path = target.substr(0, target.find('?'));
    const auto query = parseUrlQuery(target);
    if (path == "/control") {
        control(query);
        co_return makeResponse(request, http::status::ok, "");
    }
    if (faults.isDown) {
        co_return makeResponse(request, http::status::service_unavailable, "");
    }
    if (faults.delay.count() > 0) {
        asio::steady_timer timer(m_executor, faults.delay);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (path == "/v1/log-read") {
        co_return co_await read(request, query);
    }
    if (path == "/v1/log-newest") {
        co_return makeHttpResponse(request, store.newest(text(query, "topic"), text(query, "after")));
    }
    if (path == "/v1/log-append") {
        AppendQuery append;
        if (query.contains("at")) {
            append.at = number(query, "at", 0);
        }
        append.producer = text(query, "producer");
        append.epoch = number(query, "epoch", 0);
        append.sequence = number(query, "sequence", 0);
        const StoreResponse result = store.append(text(query, "topic"), append, request.body());
        ++m_appends;
        const bool lost = static_cast<int>(m_appends * faults.lostResponses) != static_cast<int>((m_appends - 1) * faults.lostResponses);
        if (lost) {
            co_return HttpResponse(static_cast<http::status>(0), 11);
        }
        co_return makeHttpResponse(request, result);
    }
    co_return makeResponse(request, http::status::not_found, "");
}

asio::awaitable<HttpResponse> StoreServer::read(const HttpRequest &request, std::map<std::string, std::string> query)
{
    const std::string topic = text(query, "topic");
    const std::int64_t from = number(query, "from", 0);
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(number(query, "waitMs", 0));
    asio::steady_timer timer(m_executor);
    while (true) {
        if (const auto found = store.read(topic, from)) {
            co_return makeHttpResponse(request, *found);
        }
        if (std::chrono::steady_clock::now() >= until) {
            co_return makeHttpResponse(request, store.emptyRead(topic));
        }
        timer.expires_after(ReadCheckInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void StoreServer::control(const std::map<std::string, std::string> &query)
{
    faults.isDown = number(query, "down", faults.isDown ? 1 : 0) != 0;
    if (query.contains("lost")) {
        faults.lostResponses = std::stod(query.at("lost"));
    }
    faults.delay = std::chrono::milliseconds(number(query, "slow", faults.delay.count()));
    if (query.contains("expire")) {
        store.expireAll();
    }
}

} // namespace Hyssop::StandIn
