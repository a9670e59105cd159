#include "logclient.h"

#include <http/httpclient.h>

#include <boost/endian/conversion.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace Internal {

constexpr std::chrono::milliseconds ResponseMargin{2000}; // until the response begins, in addition to the long poll
constexpr std::chrono::milliseconds StallTimeout{2000}; // in a response that has begun
constexpr std::size_t RecordHeaderSize = 8 + 8 + 4; // offset, time, length
constexpr std::int64_t MaximumTimeMs = 9'000'000'000'000; // a later time overflows WallTime

static bool isStreamName(std::string_view stream)
{
    constexpr std::string_view Allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !stream.empty() && stream.find_first_not_of(Allowed) == std::string_view::npos;
}

static std::optional<std::int64_t> parseAppendedOffset(const std::string &body)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(body, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    const boost::json::value *offset = value.as_object().if_contains("offset");
    if (offset == nullptr || !offset->is_int64() || offset->as_int64() < 1) {
        return std::nullopt;
    }
    return offset->as_int64();
}

static std::optional<std::int64_t> headerNumber(const HttpResponse &response, boost::beast::string_view name)
{
    const auto text = response[name];
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

template<typename Number>
static Number loadNumber(std::string_view bytes)
{
    return boost::endian::endian_load<Number, sizeof(Number), boost::endian::order::big>(reinterpret_cast<const unsigned char *>(bytes.data()));
}

static Result<std::vector<LogRecord>> parseRecords(std::string_view body)
{
    std::vector<LogRecord> records;
    while (!body.empty()) {
        if (body.size() < RecordHeaderSize) {
            return fail(ErrorCode::Malformed, "the last record header is incomplete");
        }
        LogRecord record;
        record.offset = loadNumber<std::int64_t>(body);
        const auto timeMs = loadNumber<std::int64_t>(body.substr(8));
        const auto size = loadNumber<std::uint32_t>(body.substr(16));
        body.remove_prefix(RecordHeaderSize);
        if (timeMs < 0 || timeMs > MaximumTimeMs) {
            return fail(ErrorCode::Malformed, "record time out of range");
        }
        if (size > MaximumLogRecordSize || size > body.size()) {
            return fail(ErrorCode::Malformed, "record of " + std::to_string(size) + " bytes exceeds the limit or the response");
        }
        record.time = WallTime(std::chrono::milliseconds(timeMs));
        record.bytes = body.substr(0, size);
        body.remove_prefix(size);
        records.push_back(std::move(record));
    }
    return records;
}

static Result<ReadResult> parseReadResponse(const HttpResponse &response, std::int64_t from, int maximum)
{
    const auto oldest = headerNumber(response, "X-Oldest");
    const auto head = headerNumber(response, "X-Head");
    if (!oldest || !head || *oldest < 0 || *head < -1) {
        return fail(ErrorCode::Malformed, "X-Oldest or X-Head is missing or invalid");
    }
    BOOST_LEAF_AUTO(records, parseRecords(response.body()));
    if (records.size() > static_cast<std::size_t>(maximum)) {
        return fail(ErrorCode::Malformed, "more records than requested");
    }
    std::int64_t lowest = std::max(from, *oldest);
    // A reader that accepted an empty response below the head would poll forever without progress.
    if (records.empty() && lowest <= *head) {
        return fail(ErrorCode::Malformed, "no record although the head is at offset " + std::to_string(*head));
    }
    for (const LogRecord &record : records) {
        if (record.offset < lowest || record.offset > *head) {
            return fail(ErrorCode::Malformed, "offset " + std::to_string(record.offset) + " is out of order");
        }
        lowest = record.offset + 1;
    }
    return ReadResult{std::move(records), *oldest, *head};
}

} // namespace Internal

LogClient::LogClient(HttpClient &http, std::string address)
    : m_http(http)
    , m_address(std::move(address))
{
}

asio::awaitable<AppendOutcome> LogClient::append(std::string stream, std::string bytes, std::chrono::milliseconds timeout)
{
    if (!Internal::isStreamName(stream)) {
        co_return AppendRejected{"\"" + stream + "\" is not a stream name"};
    }
    if (bytes.size() > MaximumLogRecordSize) {
        co_return AppendRejected{"the record has " + std::to_string(bytes.size()) + " bytes; the limit is " + std::to_string(MaximumLogRecordSize)};
    }
    auto outcome = co_await m_http.send(m_address, http::verb::post, "/streams/" + stream + "/records", std::move(bytes), timeout);
    if (const Error *error = errorOf(outcome)) {
        if (isNotSent(error->code) || error->code == ErrorCode::InvalidArgument) {
            co_return AppendRejected{error->message};
        }
        co_return AppendUndetermined{error->message};
    }
    const HttpResponse &response = *valueOf(outcome);
    switch (response.result()) {
    case http::status::ok:
        break;
    case http::status::service_unavailable:
        co_return AppendRejected{"the log is unavailable"};
    case http::status::payload_too_large:
        co_return AppendRejected{"the record is too large for the log"};
    default:
        co_return AppendUndetermined{"the log responded with status " + std::to_string(response.result_int())};
    }
    const auto offset = Internal::parseAppendedOffset(response.body());
    if (!offset) {
        ++m_malformedResponses;
        co_return AppendUndetermined{"the log's response has no valid offset"};
    }
    co_return Appended{*offset};
}

asio::awaitable<Outcome<ReadResult>> LogClient::read(std::string stream, std::int64_t from, int maximum, std::chrono::milliseconds wait)
{
    if (!Internal::isStreamName(stream) || from < 0 || maximum < 1 || wait < std::chrono::milliseconds::zero()) {
        co_return Error{ErrorCode::InvalidArgument, "invalid stream name, offset, record count or wait time"};
    }
    std::string path =
        "/streams/" + stream + "/records?from=" + std::to_string(from) + "&max=" + std::to_string(maximum) + "&wait=" + std::to_string(wait.count());
    auto outcome = co_await m_http.send(m_address, http::verb::get, std::move(path), {}, HttpTimeouts{wait + Internal::ResponseMargin, Internal::StallTimeout});
    if (const Error *error = errorOf(outcome)) {
        co_return *error;
    }
    const HttpResponse &response = *valueOf(outcome);
    if (response.result() != http::status::ok) {
        co_return Error{ErrorCode::Refused, "the log responded with status " + std::to_string(response.result_int())};
    }
    auto result = capture([&] { return Internal::parseReadResponse(response, from, maximum); });
    if (errorOf(result) != nullptr) {
        ++m_malformedResponses;
    }
    co_return result;
}

std::uint64_t LogClient::malformedResponses() const
{
    return m_malformedResponses;
}

} // namespace Hyssop
