#include "upstreampool.h"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace Hyssop::Internal {

namespace asio = boost::asio;

constexpr std::size_t MaximumIdleConnections = 64; // per target
constexpr std::size_t MaximumIdleBuffer = 8 * 1024; // bytes; larger ones are freed

/// Returns true if the target has neither closed the connection nor sent anything on it. No response is outstanding on
/// an idle connection, so bytes on it would be taken for the response to the next request.
static bool isUsable(UpstreamConnection &connection)
{
    boost::system::error_code error;
    char byte = 0;
    connection.socket.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

UpstreamPool::UpstreamPool(Duration idleTimeout)
    : m_idleTimeout(idleTimeout)
{
}

UpstreamConnectionPtr UpstreamPool::takeIdle(const std::string &address, TimePoint now)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto &idle = found->second;
    while (!idle.empty()) {
        UpstreamConnectionPtr connection = std::move(idle.back());
        idle.pop_back();
        if (now - connection->idleSince < m_idleTimeout && isUsable(*connection)) {
            return connection;
        }
    }
    return nullptr;
}

void UpstreamPool::putBack(const std::string &address, UpstreamConnectionPtr connection, TimePoint now)
{
    auto &idle = m_idle[address];
    if (connection->buffer.size() != 0 || idle.size() >= MaximumIdleConnections) {
        return;
    }
    if (connection->buffer.capacity() > MaximumIdleBuffer) {
        connection->buffer = boost::beast::flat_buffer();
    }
    connection->idleSince = now;
    idle.push_back(std::move(connection));
}

void UpstreamPool::closeExpired(TimePoint now)
{
    for (auto &[address, idle] : m_idle) {
        std::erase_if(idle, [&](const UpstreamConnectionPtr &connection) { return now - connection->idleSince >= m_idleTimeout || !isUsable(*connection); });
    }
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

std::size_t UpstreamPool::size() const
{
    std::size_t count = 0;
    for (const auto &[address, idle] : m_idle) {
        count += idle.size();
    }
    return count;
}

} // namespace Hyssop::Internal
