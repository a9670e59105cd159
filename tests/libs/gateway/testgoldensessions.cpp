#include "gatewayfixture.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <regex>

using namespace Hyssop;
using namespace Hyssop::Testing;
namespace asio = boost::asio;

namespace {

struct Session
{
    std::string comments;
    std::string request;
    std::string expected; // each line begins with "< "
};

} // namespace

static std::vector<Session> readSessions(const std::string &file)
{
    std::ifstream stream(file);
    cr_assert(stream.good(), "%s can't be read", file.c_str());
    std::vector<Session> sessions(1);
    std::string line;
    while (std::getline(stream, line)) {
        if (line.empty()) {
            sessions.emplace_back();
        } else if (line[0] == '#') {
            sessions.back().comments += line + "\n";
        } else if (line[0] == '>') {
            sessions.back().request += (line.size() > 2 ? line.substr(2) : "") + "\r\n";
        } else {
            sessions.back().expected += line + "\n";
        }
    }
    return sessions;
}

static asio::awaitable<void> runSession(GatewayFixture &fixture, std::string request, std::string &received)
{
    const auto asTuple = asio::as_tuple(asio::use_awaitable);
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect(fixture.endpoint(), asTuple);
    co_await asio::async_write(socket, asio::buffer(request), asTuple);
    co_await asio::async_read(socket, asio::dynamic_buffer(received), asTuple);
}

static std::string prefixedLines(const std::string &received)
{
    const std::string masked = std::regex_replace(received, std::regex("Hyssop-Request-Id: [^\r\n]*"), "Hyssop-Request-Id: *");
    std::string result;
    std::istringstream stream(masked);
    std::string line;
    while (std::getline(stream, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        result += line.empty() ? "<\n" : "< " + line + "\n";
    }
    return result;
}

// Guards against unintended changes of statuses, outcomes and headers. HYSSOP_UPDATE_GOLDEN=1 rewrites the file.
Test(goldensessions, matchTheFile)
{
    const std::string file = std::string(HYSSOP_TEST_DATA) + "/golden/gateway-sessions.txt";
    const bool isUpdate = std::getenv("HYSSOP_UPDATE_GOLDEN") != nullptr;
    std::string updated;
    for (const Session &session : readSessions(file)) {
        updated += (updated.empty() ? "" : "\n") + session.comments;
        if (session.request.empty()) {
            continue;
        }
        GatewayFixture fixture;
        std::string received;
        fixture.run(runSession(fixture, session.request, received));
        const std::string prefixed = prefixedLines(received);
        std::istringstream lines(session.request);
        std::string line;
        while (std::getline(lines, line)) {
            line.pop_back();
            updated += line.empty() ? ">\n" : "> " + line + "\n";
        }
        updated += prefixed;
        if (!isUpdate) {
            cr_assert_str_eq(prefixed.c_str(), session.expected.c_str(), "%s", session.comments.c_str());
        }
    }
    if (isUpdate) {
        std::ofstream(file) << updated;
    }
}
