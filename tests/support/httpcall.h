#pragma once

#include <map>
#include <string>

namespace Hyssop::Testing {

/// Response to a blocking HTTP call; status 0 if no complete response arrived.
struct HttpCallResult
{
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers; // names in lower case
};

/// Sends one request on a new connection and waits at most ten seconds for the response.
HttpCallResult httpCall(const std::string &address,
                        const std::string &method,
                        const std::string &path,
                        const std::string &body = {},
                        const std::map<std::string, std::string> &headers = {});

} // namespace Hyssop::Testing
