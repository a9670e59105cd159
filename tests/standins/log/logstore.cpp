#include "logstore.h"

#include <algorithm>
#include <utility>

namespace Hyssop {

// The client accepts responses of at most 4 MiB.
constexpr std::size_t MaximumReadSize = 1024 * 1024;

std::int64_t LogStore::append(const std::string &stream, std::string bytes, WallTime time)
{
    Stream &target = m_streams[stream];
    ++m_statistics.appends;
    m_statistics.bytes += bytes.size();
    target.records.push_back({++target.head, time, std::move(bytes)});
    applyRetention(target);
    return target.head;
}

ReadResult LogStore::read(const std::string &stream, std::int64_t from, int maximum)
{
    ++m_statistics.reads;
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return {{}, 1, -1};
    }
    const Stream &source = found->second;
    ReadResult result;
    result.head = source.head;
    result.oldest = source.records.empty() ? source.head + 1 : source.records.front().offset;
    std::size_t size = 0;
    auto record = std::ranges::lower_bound(source.records, from, {}, &LogRecord::offset);
    for (; record != source.records.end() && result.records.size() < static_cast<std::size_t>(maximum); ++record) {
        size += record->bytes.size();
        if (!result.records.empty() && size > MaximumReadSize) {
            break;
        }
        result.records.push_back(*record);
    }
    return result;
}

void LogStore::setRetention(std::optional<std::size_t> records)
{
    m_retention = records;
    for (auto &[name, stream] : m_streams) {
        applyRetention(stream);
    }
}

void LogStore::truncate(const std::string &stream, std::int64_t oldest)
{
    auto &records = m_streams[stream].records;
    while (!records.empty() && records.front().offset < oldest) {
        records.pop_front();
    }
}

void LogStore::applyRetention(Stream &stream) const
{
    while (m_retention && stream.records.size() > *m_retention) {
        stream.records.pop_front();
    }
}

} // namespace Hyssop
