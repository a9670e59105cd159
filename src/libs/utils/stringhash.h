#pragma once

#include <cstddef>
#include <functional>
#include <string_view>

namespace Hyssop {

/// Hash of strings for unordered containers that are searched without a copy of the key.
struct StringHash
{
    using is_transparent = void; // NOLINT(readability-identifier-naming): name required by the container

    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
};

} // namespace Hyssop
