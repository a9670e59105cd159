#pragma once

#include <boost/asio/execution.hpp>
#include <boost/asio/execution_context.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <utility>

namespace Hyssop {

/// Runs handlers in the time that other events of an io_context leave.
///
/// Load pattern: thousands of best-effort tasks start and end each second, more than the processor carries. In one queue with their
/// exchanges, a record that is durable, the response to an urgent start and the next tick wait for all of them. Here they wait for at most
/// HandlersPerTurn of these handlers.
///
/// The same number is the least that runs between two turns of the event loop, so the handlers make progress however many other events there
/// are. The queue has no bound of its own: a handler belongs to a start that is open, and the start window bounds those.
class BackgroundQueue : public boost::asio::execution_context::service
{
public:
    static boost::asio::execution_context::id id; // by which the context finds its queue

    static constexpr std::size_t HandlersPerTurn = 64;

    /// Executor whose handlers run in the background.
    class Executor
    {
    public:
        explicit Executor(BackgroundQueue &queue)
            : m_queue(&queue)
        {
        }

        template<typename Function>
        void execute(Function function) const
        {
            m_queue->post(std::make_unique<FunctionHandler<Function>>(std::move(function)));
        }

        boost::asio::execution_context &query(boost::asio::execution::context_t) const noexcept { return m_queue->context(); }

        static constexpr boost::asio::execution::blocking_t query(boost::asio::execution::blocking_t) noexcept
        {
            return boost::asio::execution::blocking.never;
        }

        Executor require(boost::asio::execution::blocking_t::never_t) const noexcept { return *this; }

        bool operator==(const Executor &other) const noexcept = default;

    private:
        BackgroundQueue *m_queue;
    };

    /// @p context must be an io_context. Use asio::use_service() to get the queue of a context.
    explicit BackgroundQueue(boost::asio::execution_context &context);

    Executor executor() { return Executor(*this); }

    /// Returns the number of handlers that wait.
    std::size_t size() const { return m_handlers.size(); }

private:
    /// A function that runs once.
    class Handler
    {
    public:
        virtual ~Handler() = default;
        virtual void run() = 0;
    };

    template<typename Function>
    class FunctionHandler : public Handler
    {
    public:
        explicit FunctionHandler(Function function)
            : m_function(std::move(function))
        {
        }

        void run() override { std::move(m_function)(); }

    private:
        Function m_function;
    };

    void shutdown() override;
    void post(std::unique_ptr<Handler> handler);
    void scheduleTurn();
    void runTurn();
    void destroyHandlers();

    std::deque<std::unique_ptr<Handler>> m_handlers;
    bool m_isTurnScheduled = false;
    bool m_isShutDown = false;
};

} // namespace Hyssop
