#pragma once

#include <http/httpserver.h>
#include <utils/clock.h>

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace Hyssop::Testing {

/// Stand-in for the platform's instance list. Changes become visible after a configurable delay.
class InstanceList
{
public:
    boost::asio::awaitable<HttpResponse> respond(const HttpRequest &request);

private:
    struct Change
    {
        TimePoint time;
        std::string id;
        boost::json::object state; // empty: removed
    };

    HttpResponse recordChange(const HttpRequest &request, const std::string &id);
    HttpResponse setFaults(const HttpRequest &request);
    std::string visibleList(TimePoint now);

    std::vector<Change> m_changes; // not yet visible, oldest first
    std::map<std::string, boost::json::object> m_visible;
    std::chrono::milliseconds m_lag{0};
    bool m_available = true;
};

} // namespace Hyssop::Testing
