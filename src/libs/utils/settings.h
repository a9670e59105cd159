#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Hyssop {

struct TextSetting
{
};

struct ChoiceSetting
{
    std::vector<std::string> choices;
};

/// An IP address and port, "127.0.0.1:8080" or "[::1]:8080".
struct AddressSetting
{
};

/// Comma-separated addresses; may be empty.
struct AddressListSetting
{
};

struct DurationSetting
{
    std::chrono::microseconds minimum;
    std::chrono::microseconds maximum;
};

struct IntegerSetting
{
    std::int64_t minimum;
    std::int64_t maximum;
};

using SettingType = std::variant<TextSetting, ChoiceSetting, AddressSetting, AddressListSetting, DurationSetting, IntegerSetting>;

/// Describes one key of a settings file, "section.key".
struct SettingSpec
{
    std::string key;
    SettingType type;
    std::string description;
    std::string defaultValue; // used if the key is absent
    bool required = false;
};

/// An error in a settings file, which toString() formats as one line.
struct SettingError
{
    std::string file;
    int line = 0; // 1-based; 0: no line, for example a missing key
    std::string key;
    std::string message;

    std::string toString() const;
};

/// Validated settings of a daemon. Only keys of the specification can be read.
class Settings
{
public:
    /// Parses @p text and validates it against @p specs. Returns every error that was found.
    static std::variant<Settings, std::vector<SettingError>> parse(std::string_view text, const std::string &file, const std::vector<SettingSpec> &specs);

    /// Reads @p file and validates it as parse() does.
    static std::variant<Settings, std::vector<SettingError>> load(const std::string &file, const std::vector<SettingSpec> &specs);

    /// Returns an annotated example file for @p specs.
    static std::string example(const std::vector<SettingSpec> &specs);

    const std::string &text(const std::string &key) const;
    std::chrono::microseconds duration(const std::string &key) const;
    std::int64_t integer(const std::string &key) const;
    std::vector<std::string> list(const std::string &key) const;

private:
    std::map<std::string, std::string> m_values;
};

/// Returns true for an IP address (not a host name) with a port from 0 to 65535.
bool isAddress(std::string_view text);

} // namespace Hyssop
