#pragma once

#include <utils/clock.h>
#include <utils/result.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Hyssop {

class HttpClient;

/// The record is in the log at this offset.
struct Appended
{
    std::int64_t offset = 0;
};

/// The record is not in the log and will not appear there later.
struct AppendRejected
{
    std::string reason;
};

/// The record may be in the log or may appear there later.
struct AppendUndetermined
{
    std::string reason;
};

using AppendOutcome = std::variant<Appended, AppendRejected, AppendUndetermined>;

struct LogRecord
{
    std::int64_t offset = 0;
    WallTime time; // assigned by the log
    std::string bytes;
};

struct ReadResult
{
    std::vector<LogRecord> records;
    std::int64_t oldest = 0; // lowest offset that the log still stores
    std::int64_t head = -1; // last offset in the stream; -1 for an empty stream
};

/// Maximum size of a record in the platform log, in bytes.
constexpr std::size_t MaximumLogRecordSize = 256 * 1024;

/// Client of the platform's log service. No other class depends on its wire format.
class LogClient
{
public:
    /// @p address is the "IP-ADDRESS:PORT" of the log service. @p http must outlive the client.
    LogClient(HttpClient &http, std::string address);

    /// Appends one record of at most 256 KiB.
    boost::asio::awaitable<AppendOutcome> append(std::string stream, std::string bytes, std::chrono::milliseconds timeout);

    /// Reads at most @p maximum records, starting at offset @p from. Waits up to @p wait for the first record.
    boost::asio::awaitable<Outcome<ReadResult>> read(std::string stream, std::int64_t from, int maximum, std::chrono::milliseconds wait);

    /// Number of responses since the start that violated the log's wire format.
    std::uint64_t malformedResponses() const;

private:
    HttpClient &m_http;
    std::string m_address;
    std::uint64_t m_malformedResponses = 0;
};

} // namespace Hyssop
