#include "settings.h"

#include "endpoint.h"
#include "inidocument.h"
#include "overloaded.h"
#include "quantity.h"

#include <boost/algorithm/string.hpp>

#include <algorithm>
#include <cassert>
#include <fstream>
#include <optional>
#include <sstream>

namespace Hyssop {

namespace Internal {

static std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    boost::split(items, text, boost::is_any_of(","));
    for (std::string &item : items) {
        boost::trim(item);
    }
    std::erase(items, std::string());
    return items;
}

static std::string allowedValues(const SettingType &type)
{
    return std::visit(
        Overloaded{
            [](const TextSetting &) -> std::string { return "any text"; },
            [](const ChoiceSetting &choice) { return "one of " + boost::join(choice.choices, ", "); },
            [](const AddressSetting &) -> std::string { return "IP-ADDRESS:PORT"; },
            [](const AddressListSetting &) -> std::string { return "IP-ADDRESS:PORT, separated by commas"; },
            [](const DurationSetting &range) {
                return "a duration with unit (us, ms, s, min, h) from " + formatDuration(range.minimum) + " to " + formatDuration(range.maximum);
            },
            [](const IntegerSetting &range) { return "an integer from " + std::to_string(range.minimum) + " to " + std::to_string(range.maximum); },
        },
        type);
}

static bool isInRange(const std::string &value, const DurationSetting &range)
{
    auto parsed = capture([&] { return parseDuration(value); });
    const auto *duration = valueOf(parsed);
    return duration != nullptr && *duration >= range.minimum && *duration <= range.maximum;
}

static bool isInRange(const std::string &value, const IntegerSetting &range)
{
    auto parsed = capture([&] { return parseInteger(value); });
    const auto *integer = valueOf(parsed);
    return integer != nullptr && *integer >= range.minimum && *integer <= range.maximum;
}

static bool isAllowed(const std::string &value, const SettingType &type)
{
    return std::visit(Overloaded{
                          [&](const TextSetting &) { return !value.empty(); },
                          [&](const ChoiceSetting &choice) { return std::ranges::find(choice.choices, value) != choice.choices.end(); },
                          [&](const AddressSetting &) { return isAddress(value); },
                          [&](const AddressListSetting &) { return std::ranges::all_of(splitList(value), isAddress); },
                          [&](const auto &range) { return isInRange(value, range); },
                      },
                      type);
}

static std::string fullKey(const IniEntry &entry)
{
    return entry.section.empty() ? entry.key : entry.section + "." + entry.key;
}

static std::optional<std::string> validateEntry(const SettingSpec *spec, const IniEntry &entry, bool repeated)
{
    if (spec == nullptr) {
        return "unknown key";
    }
    if (repeated) {
        return "the key is set twice";
    }
    if (!isAllowed(entry.value, spec->type)) {
        return "\"" + entry.value + "\" is not allowed; allowed: " + allowedValues(spec->type);
    }
    return std::nullopt;
}

} // namespace Internal

std::string SettingError::toString() const
{
    std::string text = file + ":";
    if (line > 0) {
        text += std::to_string(line) + ":";
    }
    text += " ";
    if (!key.empty()) {
        text += key + ": ";
    }
    return text + message;
}

std::variant<Settings, std::vector<SettingError>> Settings::parse(std::string_view text, const std::string &file, const std::vector<SettingSpec> &specs)
{
    auto outcome = capture([&] { return IniDocument::parse(text); });
    if (const Error *error = errorOf(outcome)) {
        return std::vector<SettingError>{{file, 0, {}, error->message}};
    }
    Settings settings;
    std::vector<SettingError> errors;
    for (const IniEntry &entry : valueOf(outcome)->entries) {
        const std::string key = Internal::fullKey(entry);
        const auto spec = std::ranges::find(specs, key, &SettingSpec::key);
        const SettingSpec *known = spec == specs.end() ? nullptr : &*spec;
        if (auto message = Internal::validateEntry(known, entry, settings.m_values.contains(key))) {
            errors.push_back({file, entry.line, key, *message});
            continue;
        }
        settings.m_values[key] = entry.value;
    }
    for (const SettingSpec &spec : specs) {
        if (settings.m_values.contains(spec.key)) {
            continue;
        }
        const bool isReported = std::ranges::find(errors, spec.key, &SettingError::key) != errors.end();
        if (spec.required && !isReported) {
            errors.push_back({file, 0, spec.key, "missing; allowed: " + Internal::allowedValues(spec.type)});
        }
        settings.m_values[spec.key] = spec.defaultValue;
    }
    if (!errors.empty()) {
        return errors;
    }
    return settings;
}

std::variant<Settings, std::vector<SettingError>> Settings::load(const std::string &file, const std::vector<SettingSpec> &specs)
{
    std::ifstream stream(file);
    if (!stream) {
        return std::vector<SettingError>{{file, 0, {}, "the file can't be read"}};
    }
    std::ostringstream content;
    content << stream.rdbuf();
    return parse(content.str(), file, specs);
}

std::string Settings::example(const std::vector<SettingSpec> &specs)
{
    std::string text;
    std::string section;
    for (const SettingSpec &spec : specs) {
        const std::size_t dot = spec.key.find('.');
        const std::string specSection = spec.key.substr(0, dot);
        if (specSection != section) {
            section = specSection;
            text += (text.empty() ? "[" : "\n[") + section + "]\n";
        }
        text += "# " + spec.description + " Allowed: " + Internal::allowedValues(spec.type) + ".\n";
        text += (spec.required ? "" : "# ") + spec.key.substr(dot + 1) + " = " + spec.defaultValue + "\n";
    }
    return text;
}

const std::string &Settings::text(const std::string &key) const
{
    const auto value = m_values.find(key);
    assert(value != m_values.end());
    return value->second;
}

std::chrono::microseconds Settings::duration(const std::string &key) const
{
    auto parsed = capture([&] { return parseDuration(text(key)); });
    const auto *value = valueOf(parsed);
    assert(value != nullptr);
    return *value;
}

std::int64_t Settings::integer(const std::string &key) const
{
    auto parsed = capture([&] { return parseInteger(text(key)); });
    const auto *value = valueOf(parsed);
    assert(value != nullptr);
    return *value;
}

std::vector<std::string> Settings::list(const std::string &key) const
{
    return Internal::splitList(text(key));
}

bool isAddress(std::string_view text)
{
    auto endpoint = capture([&] { return parseEndpoint(text); });
    return valueOf(endpoint) != nullptr;
}

} // namespace Hyssop
