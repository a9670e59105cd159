#pragma once

#include <platform/logclient.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Hyssop {

/// In-memory streams of the log stand-in. Performs no I/O.
class LogStore
{
public:
    struct Stream
    {
        std::deque<LogRecord> records;
        std::int64_t head = 0; // last assigned offset; offsets start at 1
    };

    struct Statistics
    {
        std::uint64_t appends = 0;
        std::uint64_t bytes = 0;
        std::uint64_t reads = 0;
    };

    /// Appends a record and returns its offset.
    std::int64_t append(const std::string &stream, std::string bytes, WallTime time);

    /// Returns at most @p maximum records, starting at offset @p from. Their total size is at most 1 MiB unless the first
    /// record is larger.
    ReadResult read(const std::string &stream, std::int64_t from, int maximum);

    /// Keeps only the newest @p records records of each stream from now on; without a value keeps all.
    void setRetention(std::optional<std::size_t> records);

    /// Removes the records of @p stream below offset @p oldest.
    void truncate(const std::string &stream, std::int64_t oldest);

    const std::map<std::string, Stream> &streams() const { return m_streams; }
    const Statistics &statistics() const { return m_statistics; }

private:
    void applyRetention(Stream &stream) const;

    std::map<std::string, Stream> m_streams;
    std::optional<std::size_t> m_retention;
    Statistics m_statistics;
};

} // namespace Hyssop
