#include "detachedtask.h"

#include <observability/logging.h>

#include <stdexcept>

namespace Hyssop {

void endProcessOnException(const std::exception_ptr &exception)
{
    logException(exception);
    if (exception) {
        std::rethrow_exception(exception);
    }
}

void logException(const std::exception_ptr &exception)
{
    if (!exception) {
        return;
    }
    try {
        std::rethrow_exception(exception);
    } catch (const std::exception &error) {
        logMessage(LogLevel::Error, "node", "unexpected exception", {{"error", error.what()}});
    }
}

} // namespace Hyssop
