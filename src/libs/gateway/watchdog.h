#pragma once

#include <utils/clock.h>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace Hyssop::Internal {

struct WatchdogState;

/// Calls a function when a deadline passes. Moving the deadline back does not touch the timer, so that arming it for
/// every request costs no system call.
class Watchdog
{
public:
    Watchdog(const boost::asio::any_io_executor &executor, std::function<void()> handler);
    ~Watchdog();

    void arm(TimePoint deadline);
    void disarm();

    /// True if the deadline has passed since the last arm().
    bool expired() const;

private:
    std::shared_ptr<WatchdogState> m_state;
};

} // namespace Hyssop::Internal
