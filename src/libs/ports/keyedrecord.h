#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Hyssop {

/// One record of a keyed topic.
struct KeyedRecord
{
    std::int64_t offset = 0;
    std::string key;
    std::optional<std::string> value; // none: the key is removed
};

} // namespace Hyssop
