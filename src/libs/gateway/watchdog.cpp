#include "watchdog.h"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace Hyssop::Internal {

struct WatchdogState
{
    WatchdogState(const boost::asio::any_io_executor &executor, std::function<void()> expiryHandler)
        : timer(executor)
        , handler(std::move(expiryHandler))
    {
    }

    boost::asio::steady_timer timer;
    std::function<void()> handler;
    TimePoint deadline = TimePoint::max();
    TimePoint scheduledFor = TimePoint::max();
    bool expired = false;
};

static void schedule(const std::shared_ptr<WatchdogState> &state);

static void check(const std::shared_ptr<WatchdogState> &state)
{
    state->scheduledFor = TimePoint::max();
    if (state->deadline == TimePoint::max() || !state->handler) {
        return;
    }
    if (std::chrono::steady_clock::now() < state->deadline) {
        schedule(state);
        return;
    }
    state->deadline = TimePoint::max();
    state->expired = true;
    state->handler();
}

static void schedule(const std::shared_ptr<WatchdogState> &state)
{
    state->scheduledFor = state->deadline;
    state->timer.expires_at(state->deadline);
    state->timer.async_wait([weak = std::weak_ptr(state)](const boost::system::error_code &error) {
        const auto locked = weak.lock();
        if (locked && !error) {
            check(locked);
        }
    });
}

Watchdog::Watchdog(const boost::asio::any_io_executor &executor, std::function<void()> handler)
    : m_state(std::make_shared<WatchdogState>(executor, std::move(handler)))
{
}

Watchdog::~Watchdog()
{
    m_state->handler = nullptr;
}

void Watchdog::arm(TimePoint deadline)
{
    m_state->expired = false;
    m_state->deadline = deadline;
    if (deadline < m_state->scheduledFor) {
        schedule(m_state);
    }
}

void Watchdog::disarm()
{
    m_state->deadline = TimePoint::max();
}

bool Watchdog::expired() const
{
    return m_state->expired;
}

} // namespace Hyssop::Internal
