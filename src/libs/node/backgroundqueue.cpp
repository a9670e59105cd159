#include "backgroundqueue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace Hyssop {

namespace asio = boost::asio;

asio::execution_context::id BackgroundQueue::id;

BackgroundQueue::BackgroundQueue(asio::execution_context &context)
    : asio::execution_context::service(context)
{
}

void BackgroundQueue::shutdown()
{
    m_isShutDown = true;
    destroyHandlers();
}

void BackgroundQueue::post(std::unique_ptr<Handler> handler)
{
    m_handlers.push_back(std::move(handler));
    scheduleTurn();
}

void BackgroundQueue::scheduleTurn()
{
    if (m_isTurnScheduled || m_isShutDown) {
        return;
    }
    m_isTurnScheduled = true;
    asio::post(static_cast<asio::io_context &>(context()), [this] { runTurn(); });
}

void BackgroundQueue::runTurn()
{
    m_isTurnScheduled = false;
    for (std::size_t count = 0; count < HandlersPerTurn && !m_handlers.empty(); ++count) {
        const std::unique_ptr<Handler> handler = std::move(m_handlers.front());
        m_handlers.pop_front();
        handler->run();
    }
    if (!m_handlers.empty()) {
        scheduleTurn();
    }
}

void BackgroundQueue::destroyHandlers()
{
    // Destroying a handler may add others, of the operations that it has owned.
    while (!m_handlers.empty()) {
        const std::unique_ptr<Handler> handler = std::move(m_handlers.front());
        m_handlers.pop_front();
    }
}

} // namespace Hyssop
