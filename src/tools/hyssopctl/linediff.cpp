#include "linediff.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>

namespace Hyssop {

namespace Internal {

using Lines = std::vector<std::string>;

constexpr std::size_t ContextLines = 3;
// Limits the table of common subsequences to 16 MB. Larger texts are shown as entirely removed and added.
constexpr std::size_t MaximumTableCells = 4'000'000;

static Lines splitLines(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        lines.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

/// Lengths of the longest common subsequences for all pairs of suffixes of the two texts.
class SuffixTable
{
public:
    SuffixTable(const Lines &before, const Lines &after)
        : m_width(after.size() + 1)
        , m_lengths((before.size() + 1) * m_width)
    {
        for (std::size_t row = before.size(); row-- > 0;) {
            for (std::size_t column = after.size(); column-- > 0;) {
                cell(row, column) = before[row] == after[column] ? length(row + 1, column + 1) + 1 : std::max(length(row + 1, column), length(row, column + 1));
            }
        }
    }

    std::uint32_t length(std::size_t row, std::size_t column) const { return m_lengths[row * m_width + column]; }

private:
    std::uint32_t &cell(std::size_t row, std::size_t column) { return m_lengths[row * m_width + column]; }

    std::size_t m_width;
    std::vector<std::uint32_t> m_lengths;
};

static Lines removeAndAddAll(const Lines &before, const Lines &after)
{
    Lines result;
    for (const std::string &line : before) {
        result.push_back("-" + line);
    }
    for (const std::string &line : after) {
        result.push_back("+" + line);
    }
    return result;
}

/// Returns all lines, prefixed with "-", "+" or, if both texts have them, a space.
static Lines fullDiff(const Lines &before, const Lines &after)
{
    if ((before.size() + 1) * (after.size() + 1) > MaximumTableCells) {
        return removeAndAddAll(before, after);
    }
    const SuffixTable table(before, after);
    Lines result;
    std::size_t row = 0;
    std::size_t column = 0;
    while (row < before.size() || column < after.size()) {
        if (row < before.size() && column < after.size() && before[row] == after[column]) {
            result.push_back(" " + before[row]);
            ++row;
            ++column;
        } else if (column == after.size() || (row < before.size() && table.length(row + 1, column) >= table.length(row, column + 1))) {
            result.push_back("-" + before[row++]);
        } else {
            result.push_back("+" + after[column++]);
        }
    }
    return result;
}

static bool isNearChange(const Lines &lines, std::size_t index)
{
    const std::size_t first = index < ContextLines ? 0 : index - ContextLines;
    const std::size_t last = std::min(lines.size(), index + ContextLines + 1);
    return std::any_of(lines.begin() + static_cast<std::ptrdiff_t>(first), lines.begin() + static_cast<std::ptrdiff_t>(last), [](const std::string &line) {
        return line.front() != ' ';
    });
}

} // namespace Internal

std::vector<std::string> lineDiff(std::string_view before, std::string_view after)
{
    const Internal::Lines all = Internal::fullDiff(Internal::splitLines(before), Internal::splitLines(after));
    Internal::Lines result;
    bool hasSkippedLines = false;
    for (std::size_t index = 0; index < all.size(); ++index) {
        if (!Internal::isNearChange(all, index)) {
            hasSkippedLines = true;
            continue;
        }
        if (hasSkippedLines && !result.empty()) {
            result.emplace_back("...");
        }
        hasSkippedLines = false;
        result.push_back(all[index]);
    }
    return result;
}

} // namespace Hyssop
