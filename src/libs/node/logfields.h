#pragma once

#include <observability/logging.h>

#include <chrono>
#include <optional>

namespace Hyssop {

/// Returns a field with @p time in milliseconds, or "unknown".
inline LogField timeField(const char *key, const std::optional<std::chrono::milliseconds> &time)
{
    return time ? LogField(key, static_cast<long long>(time->count())) : LogField(key, "unknown");
}

} // namespace Hyssop
