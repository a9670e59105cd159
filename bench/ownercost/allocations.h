#pragma once

#include <cstdint>

namespace Hyssop::Bench {

/// Returns how often the calling thread has allocated memory with operator new. This program replaces the operator to count its calls.
std::int64_t allocations();

} // namespace Hyssop::Bench
