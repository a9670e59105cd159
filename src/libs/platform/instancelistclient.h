#pragma once

#include <utils/result.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace Hyssop {

class HttpClient;

/// An entry of the platform's instance list.
struct InstanceState
{
    std::string id;
    std::string address; // may be empty
    bool leaving = false;
};

/// Parses the response body of the list service: a JSON array of {"id", "address", "state": "live" | "leaving"}. Fails
/// with ErrorCode::Malformed; an unknown state is treated as live.
Result<std::vector<InstanceState>> parseInstanceList(std::string_view text);

/// Client of the platform's instance list. The list is updated with a delay: an instance that it lacks may still be
/// running.
class InstanceListClient
{
public:
    /// @p address is the "IP-ADDRESS:PORT" of the list service. @p http must outlive the client.
    InstanceListClient(HttpClient &http, std::string address);

    boost::asio::awaitable<Outcome<std::vector<InstanceState>>> read(std::chrono::milliseconds timeout);

private:
    HttpClient &m_http;
    std::string m_address;
};

} // namespace Hyssop
