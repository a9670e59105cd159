#pragma once

#include "result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace Hyssop {

/// Compresses @p bytes (DEFLATE without header).
std::string deflated(std::string_view bytes);

/// Decompresses the result of deflated(). Fails unless it has exactly @p size bytes.
Result<std::string> inflated(std::string_view bytes, std::size_t size);

} // namespace Hyssop
