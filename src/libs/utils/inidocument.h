#pragma once

#include "result.h"

#include <string>
#include <string_view>
#include <vector>

namespace Hyssop {

/// A key with its value in an INI file.
struct IniEntry
{
    std::string section;
    std::string key;
    std::string value;
    int line = 0; // 1-based
};

/// A section header in an INI file.
struct IniSection
{
    std::string name;
    int line = 0; // 1-based
};

/// Entries and section headers of an INI file, in file order and with line numbers.
struct IniDocument
{
    std::vector<IniEntry> entries;
    std::vector<IniSection> sections;

    /// Parses @p text with Boost.Program_options. Fails with ErrorCode::Malformed on a syntax error and with
    /// ErrorCode::TooLarge above 1 MiB.
    static Result<IniDocument> parse(std::string_view text);
};

} // namespace Hyssop
