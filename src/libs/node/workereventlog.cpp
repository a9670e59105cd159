#include "workereventlog.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>

namespace Hyssop {

namespace Internal {

constexpr std::chrono::milliseconds CombinationPeriod{100};
// Bounds the length of a line.
constexpr std::size_t MaximumChanges = 50;
// Bounds the memory while there are changes of many causes.
constexpr std::size_t MaximumGroups = 32;

static void writeLine(LogLevel level, const std::string &message, const std::vector<LogField> &fields)
{
    logMessage(LogPriority::StateChange, level, "owner", message, fields);
}

static void writeSingle(const WorkerChange &change)
{
    std::vector<LogField> fields{{"worker", change.worker}};
    fields.insert(fields.end(), change.inputs.begin(), change.inputs.end());
    writeLine(change.level, change.message, fields);
}

/// Returns the keys or the values of the inputs of @p change, separated by commas, without the error that is the same for all.
static std::string joinInputs(const WorkerChange &change, std::string LogField::*part)
{
    std::string text;
    for (const LogField &input : change.inputs) {
        if (input.key != ErrorKey) {
            text += (text.empty() ? "" : ",") + input.*part;
        }
    }
    return text;
}

static void writeCombined(const std::vector<WorkerChange> &changes, std::chrono::milliseconds span)
{
    const WorkerChange &first = changes.front();
    std::string text;
    for (const WorkerChange &change : changes) {
        text += (text.empty() ? "" : ";") + change.worker + ":" + joinInputs(change, &LogField::value);
    }
    std::vector<LogField> fields{{"workers", changes.size()}};
    if (!first.cause.empty()) {
        fields.emplace_back(ErrorKey, first.cause);
    }
    fields.emplace_back("inputs", joinInputs(first, &LogField::key));
    fields.emplace_back("changes", text);
    fields.emplace_back("span_ms", span.count());
    writeLine(first.level, first.message, fields);
}

} // namespace Internal

void WorkerEventLog::add(const WorkerEvent &event, TimePoint now)
{
    WorkerChange change = describe(event);
    writeChangeOf(change.worker, now);
    Group &group = groupOf({change.message, change.cause}, now);
    if (group.changes.empty()) {
        group.since = now;
    }
    const bool isFirst = group.changes.empty() && now - group.lastLineAt >= Internal::CombinationPeriod;
    group.changes.push_back(std::move(change));
    if (isFirst || group.changes.size() >= Internal::MaximumChanges) {
        write(group, now);
    }
}

void WorkerEventLog::writeDue(TimePoint now)
{
    for (auto item = m_groups.begin(); item != m_groups.end();) {
        Group &group = item->second;
        if (!group.changes.empty() && now - group.since >= Internal::CombinationPeriod) {
            write(group, now);
        }
        const bool isUnused = group.changes.empty() && now - group.lastLineAt >= Internal::CombinationPeriod;
        item = isUnused ? m_groups.erase(item) : std::next(item);
    }
}

void WorkerEventLog::writeAll(TimePoint now)
{
    for (auto &[key, group] : m_groups) {
        write(group, now);
    }
    m_groups.clear();
}

void WorkerEventLog::write(Group &group, TimePoint now)
{
    if (group.changes.size() == 1) {
        Internal::writeSingle(group.changes.front());
    } else if (!group.changes.empty()) {
        Internal::writeCombined(group.changes, std::chrono::duration_cast<std::chrono::milliseconds>(now - group.since));
    }
    group.changes.clear();
    group.lastLineAt = now;
}

void WorkerEventLog::writeChangeOf(const std::string &worker, TimePoint now)
{
    for (auto &[key, group] : m_groups) {
        if (std::ranges::find(group.changes, worker, &WorkerChange::worker) != group.changes.end()) {
            write(group, now);
        }
    }
}

WorkerEventLog::Group &WorkerEventLog::groupOf(const GroupKey &key, TimePoint now)
{
    if (m_groups.size() >= Internal::MaximumGroups && !m_groups.contains(key)) {
        const auto oldest = std::ranges::min_element(m_groups, {}, [](const auto &group) { return group.second.lastLineAt; });
        write(oldest->second, now);
        m_groups.erase(oldest);
    }
    return m_groups[key];
}

} // namespace Hyssop
