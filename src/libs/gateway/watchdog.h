#pragma once

#include <utils/clock.h>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace Hyssop::Internal {

struct WatchdogState;

/// Calls a function when a deadline passes. Arming it again with a later deadline does not reset the timer, which saves a
/// system call per request.
class Watchdog
{
public:
    Watchdog(const boost::asio::any_io_executor &executor, std::function<void()> handler);
    ~Watchdog();

    void arm(TimePoint deadline);
    void disarm();

    /// Returns true if the deadline of the last arm() has passed and the function was called.
    bool expired() const;

private:
    std::shared_ptr<WatchdogState> m_state;
};

} // namespace Hyssop::Internal
