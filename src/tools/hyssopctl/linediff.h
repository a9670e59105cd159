#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Hyssop {

/// Lines that differ between two texts, each with "-" (only in @p before) or "+" (only in @p after) in front, with up to
/// three common lines around each change. Empty if the texts are equal.
std::vector<std::string> lineDiff(std::string_view before, std::string_view after);

} // namespace Hyssop
