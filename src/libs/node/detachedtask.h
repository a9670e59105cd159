#pragma once

#include <exception>

namespace Hyssop {

/// Completion handlers of coroutines that nothing awaits. asio::detached discards their exceptions.

/// For a loop without which the process is useless: throws the exception out of the event loop, which ends the process.
void endProcessOnException(const std::exception_ptr &exception);

/// For a single operation: logs the exception.
void logException(const std::exception_ptr &exception);

} // namespace Hyssop
