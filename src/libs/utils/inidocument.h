#pragma once

#include "result.h"

#include <string>
#include <string_view>
#include <vector>

namespace Hyssop {

/// One assignment of an INI file.
struct IniEntry
{
    std::string section;
    std::string key;
    std::string value;
    int line = 0; // 1-based
};

/// One section header of an INI file.
struct IniSection
{
    std::string name;
    int line = 0; // 1-based
};

/// Content of an INI file in file order, with line numbers.
struct IniDocument
{
    std::vector<IniEntry> entries;
    std::vector<IniSection> sections;

    /// Reads @p text with Boost.Program_options. Fails with ErrorCode::Malformed on a syntax error and with
    /// ErrorCode::TooLarge above 1 MiB.
    static Result<IniDocument> parse(std::string_view text);
};

} // namespace Hyssop
