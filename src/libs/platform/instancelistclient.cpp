#include "instancelistclient.h"

#include <http/httpclient.h>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <utility>

namespace Hyssop {

namespace json = boost::json;

namespace Internal {

static std::string textField(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(json::string_view(key.data(), key.size()));
    return value != nullptr && value->is_string() ? std::string(value->as_string().c_str()) : std::string();
}

} // namespace Internal

Result<std::vector<InstanceState>> parseInstanceList(std::string_view text)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(json::string_view(text.data(), text.size()), error);
    if (error || !parsed.is_array()) {
        return fail(ErrorCode::Malformed, "the instance list is not a JSON array");
    }
    std::vector<InstanceState> instances;
    for (const json::value &item : parsed.as_array()) {
        if (!item.is_object() || Internal::textField(item.as_object(), "id").empty()) {
            return fail(ErrorCode::Malformed, "the instance list has an entry without an id");
        }
        const json::object &object = item.as_object();
        instances.push_back({Internal::textField(object, "id"), Internal::textField(object, "address"), Internal::textField(object, "state") == "leaving"});
    }
    return instances;
}

InstanceListClient::InstanceListClient(HttpClient &http, std::string address)
    : m_http(http)
    , m_address(std::move(address))
{
}

boost::asio::awaitable<Outcome<std::vector<InstanceState>>> InstanceListClient::read(std::chrono::milliseconds timeout)
{
    auto outcome = co_await m_http.send(m_address, boost::beast::http::verb::get, "/instances", {}, timeout);
    if (const Error *error = errorOf(outcome)) {
        co_return *error;
    }
    const HttpResponse &response = *valueOf(outcome);
    if (response.result() != boost::beast::http::status::ok) {
        co_return Error{ErrorCode::Refused, "the instance list service responded with status " + std::to_string(response.result_int())};
    }
    co_return capture([&] { return parseInstanceList(response.body()); });
}

} // namespace Hyssop
