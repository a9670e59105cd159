#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Hyssop {

/// A record of a topic that is compacted by key.
struct KeyedRecord
{
    std::int64_t offset = 0;
    std::string key;
    std::optional<std::string> value; // none: a tombstone that removes the key
};

} // namespace Hyssop
