#pragma once

#include <utils/result.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace Hyssop {

class HttpClient;

/// An instance in the platform's list.
struct InstanceState
{
    std::string id;
    std::string address; // may be empty
    bool leaving = false;
};

/// Parses the body of the list service's answer: a JSON array of {"id", "address", "state": "live" | "leaving"}. Fails
/// with ErrorCode::Malformed; an unknown state counts as live.
Result<std::vector<InstanceState>> parseInstanceList(std::string_view text);

/// Adapter for the platform's instance list. The list lags; an instance that is missing from it may still be alive.
class InstanceListClient
{
public:
    /// @p address is "IP-ADDRESS:PORT" of the list service. @p http must outlive the client.
    InstanceListClient(HttpClient &http, std::string address);

    boost::asio::awaitable<Outcome<std::vector<InstanceState>>> read(std::chrono::milliseconds timeout);

private:
    HttpClient &m_http;
    std::string m_address;
};

} // namespace Hyssop
