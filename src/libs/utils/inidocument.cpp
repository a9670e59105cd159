#include "inidocument.h"

#include "quantity.h"

#include <boost/program_options.hpp>

#include <map>
#include <sstream>

namespace Hyssop {

namespace Internal {

constexpr std::size_t MaximumDocumentSize = 1024 * 1024;

using LinesByKey = std::map<std::string, std::vector<int>>;

/// Line numbers of each key and section, which Boost.Program_options does not report.
struct LineIndex
{
    LinesByKey lines;
    std::vector<IniSection> sections;
};

static LineIndex indexLines(std::string_view text)
{
    LineIndex index;
    std::istringstream stream{std::string(text)};
    std::string prefix;
    std::string line;
    for (int number = 1; std::getline(stream, line); ++number) {
        const std::string_view content = trimmed(std::string_view(line).substr(0, line.find('#')));
        if (content.empty()) {
            continue;
        }
        if (content.front() == '[' && content.back() == ']') {
            prefix = content.substr(1, content.size() - 2);
            index.sections.push_back({prefix, number});
            continue;
        }
        const std::string key(trimmed(content.substr(0, content.find('='))));
        index.lines[prefix.empty() ? key : prefix + "." + key].push_back(number);
    }
    return index;
}

static IniEntry makeEntry(const std::string &fullKey, const std::string &value, int line)
{
    const std::size_t dot = fullKey.rfind('.');
    if (dot == std::string::npos) {
        return {{}, fullKey, value, line};
    }
    return {fullKey.substr(0, dot), fullKey.substr(dot + 1), value, line};
}

} // namespace Internal

Result<IniDocument> IniDocument::parse(std::string_view text)
{
    if (text.size() > Internal::MaximumDocumentSize) {
        return fail(ErrorCode::TooLarge, "the document is larger than 1 MiB");
    }
    namespace po = boost::program_options;
    const po::options_description noOptions;
    std::istringstream stream{std::string(text)};
    const Internal::LineIndex index = Internal::indexLines(text);
    std::map<std::string, std::size_t> occurrences;
    IniDocument document;
    document.sections = index.sections;
    try {
        const auto parsed = po::parse_config_file(stream, noOptions, true);
        for (const auto &option : parsed.options) {
            const auto lines = index.lines.find(option.string_key);
            const std::size_t occurrence = occurrences[option.string_key]++;
            const bool known = lines != index.lines.end() && occurrence < lines->second.size();
            const std::string value = option.value.empty() ? std::string() : option.value.front();
            document.entries.push_back(Internal::makeEntry(option.string_key, value, known ? lines->second[occurrence] : 0));
        }
    } catch (const po::error &error) {
        return fail(ErrorCode::Malformed, error.what());
    }
    return document;
}

} // namespace Hyssop
