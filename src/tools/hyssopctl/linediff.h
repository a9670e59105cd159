#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Hyssop {

/// Returns the lines that differ, prefixed with "-" (only in @p before) or "+" (only in @p after), with up to three common
/// lines of context around each change. Returns an empty list if the texts are equal.
std::vector<std::string> lineDiff(std::string_view before, std::string_view after);

} // namespace Hyssop
