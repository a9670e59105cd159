#pragma once

#include <map>
#include <string>

namespace Hyssop::Testing {

/// Answer of a blocking HTTP call; status 0 if there was no whole answer.
struct HttpAnswer
{
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers; // names in lower case
};

/// Sends one request on a new connection and waits at most ten seconds for the answer.
HttpAnswer httpCall(const std::string &address,
                    const std::string &method,
                    const std::string &path,
                    const std::string &body = {},
                    const std::map<std::string, std::string> &headers = {});

} // namespace Hyssop::Testing
