#pragma once

#include "workerevent.h"

#include <observability/logging.h>

#include <string>
#include <vector>

namespace Hyssop {

/// What a log line says about a change of a worker.
struct WorkerChange
{
    std::string message;
    std::string worker;
    std::vector<LogField> inputs; // that decided the change, and what it affects
    std::string cause{}; // kind of the error among the inputs; empty: none
    LogLevel level = LogLevel::Info;
};

/// Key of the input that WorkerChange::cause summarizes.
inline constexpr const char *ErrorKey = "error";

/// Returns what the log says about @p event.
WorkerChange describe(const WorkerEvent &event);

} // namespace Hyssop
