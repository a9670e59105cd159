#include "instancelist.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Hyssop::Testing {

namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::string_view InstancePrefix = "/instances/";

static json::value parseBody(const HttpRequest &request)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(request.body(), error);
    return error ? json::value() : parsed;
}

boost::asio::awaitable<HttpResponse> InstanceList::respond(const HttpRequest &request)
{
    const std::string path(request.target());
    if (request.method() == http::verb::post && path == "/faults") {
        co_return setFaults(request);
    }
    if (path.starts_with(InstancePrefix) && path.size() > InstancePrefix.size()) {
        co_return recordChange(request, path.substr(InstancePrefix.size()));
    }
    if (request.method() != http::verb::get || path != "/instances") {
        co_return makeResponse(request, http::status::not_found, "not found\n");
    }
    if (!m_available) {
        co_return makeResponse(request, http::status::service_unavailable, "unavailable by fault injection\n");
    }
    co_return makeResponse(request, http::status::ok, visibleList(std::chrono::steady_clock::now()), "application/json");
}

HttpResponse InstanceList::recordChange(const HttpRequest &request, const std::string &id)
{
    Change entry{std::chrono::steady_clock::now(), id, {}};
    if (request.method() == http::verb::put) {
        const json::value state = parseBody(request);
        if (!state.is_object()) {
            return makeResponse(request, http::status::bad_request, "a JSON object is required\n");
        }
        entry.state = state.as_object();
        entry.state["id"] = id;
    } else if (request.method() != http::verb::delete_) {
        return makeResponse(request, http::status::method_not_allowed, "use PUT or DELETE\n");
    }
    m_changes.push_back(std::move(entry));
    return makeResponse(request, http::status::ok, "{}", "application/json");
}

HttpResponse InstanceList::setFaults(const HttpRequest &request)
{
    const json::value faults = parseBody(request);
    if (!faults.is_object()) {
        return makeResponse(request, http::status::bad_request, "a JSON object is required\n");
    }
    if (const json::value *lag = faults.as_object().if_contains("lagMs"); lag != nullptr && lag->is_int64()) {
        m_lag = std::chrono::milliseconds(lag->as_int64());
    }
    if (const json::value *available = faults.as_object().if_contains("available"); available != nullptr && available->is_bool()) {
        m_available = available->as_bool();
    }
    return makeResponse(request, http::status::ok, "{}", "application/json");
}

std::string InstanceList::visibleList(TimePoint now)
{
    while (!m_changes.empty() && now - m_changes.front().time >= m_lag) {
        const Change &change = m_changes.front();
        if (change.state.empty()) {
            m_visible.erase(change.id);
        } else {
            m_visible[change.id] = change.state;
        }
        m_changes.erase(m_changes.begin());
    }
    json::array list;
    for (const auto &[id, state] : m_visible) {
        list.push_back(state);
    }
    return json::serialize(list);
}

} // namespace Hyssop::Testing
