#include "logservice.h"

#include <utils/endpoint.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <list>
#include <string_view>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::int64_t MaximumWaitMs = 10'000;
constexpr std::int64_t MaximumRecordsPerRead = 10'000;

struct LogService::State
{
    explicit State(asio::any_io_executor ioExecutor)
        : executor(std::move(ioExecutor))
    {
    }

    asio::any_io_executor executor;
    LogStore store;
    LogFaults faults;
    std::list<asio::steady_timer *> waitingReads;
    TimePoint secondStart;
    int appendsThisSecond = 0;
};

static asio::awaitable<void> sleepFor(const asio::any_io_executor &executor, std::chrono::milliseconds delay)
{
    asio::steady_timer timer(executor, delay);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

static std::optional<std::int64_t> queryNumber(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::string_view item = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        if (equals == std::string_view::npos || item.substr(0, equals) != name) {
            continue;
        }
        const std::string_view text = item.substr(equals + 1);
        std::int64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc() && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
    }
    return std::nullopt;
}

/// Returns the stream name in "/streams/{stream}/records", or an empty string for any other path.
static std::string streamOfPath(std::string_view path)
{
    constexpr std::string_view Prefix = "/streams/";
    constexpr std::string_view Suffix = "/records";
    if (!path.starts_with(Prefix) || !path.ends_with(Suffix) || path.size() <= Prefix.size() + Suffix.size()) {
        return {};
    }
    return std::string(path.substr(Prefix.size(), path.size() - Prefix.size() - Suffix.size()));
}

template<typename Number>
static void storeNumber(std::string &bytes, Number value)
{
    std::array<unsigned char, sizeof(Number)> buffer{};
    boost::endian::endian_store<Number, sizeof(Number), boost::endian::order::big>(buffer.data(), value);
    bytes.append(reinterpret_cast<const char *>(buffer.data()), buffer.size());
}

static std::string encodeRecords(const std::vector<LogRecord> &records)
{
    std::string bytes;
    for (const LogRecord &record : records) {
        storeNumber<std::int64_t>(bytes, record.offset);
        storeNumber<std::int64_t>(bytes, sinceEpoch(record.time).count());
        storeNumber<std::uint32_t>(bytes, static_cast<std::uint32_t>(record.bytes.size()));
        bytes += record.bytes;
    }
    return bytes;
}

static HttpResponse closeWithoutResponse()
{
    HttpResponse response;
    response.result(0U);
    return response;
}

static std::optional<std::int64_t> jsonNumber(const boost::json::value &value)
{
    return value.is_int64() && value.as_int64() >= 0 ? std::optional(value.as_int64()) : std::nullopt;
}

static bool applyFault(LogFaults &faults, LogStore &store, std::string_view key, const boost::json::value &value)
{
    if (key == "available") {
        faults.available = value.is_bool() && value.as_bool();
        return value.is_bool();
    }
    const auto number = jsonNumber(value);
    if (!number) {
        return false;
    }
    if (key == "appendDelayMs") {
        faults.appendDelay = std::chrono::milliseconds(*number);
    } else if (key == "readDelayMs") {
        faults.readDelay = std::chrono::milliseconds(*number);
    } else if (key == "loseAnswers") {
        faults.loseResponses = static_cast<int>(*number);
    } else if (key == "dropAppends") {
        faults.dropAppends = static_cast<int>(*number);
    } else if (key == "retentionRecords") {
        store.setRetention(static_cast<std::size_t>(*number));
    } else if (key == "maximumAppendsPerSecond") {
        faults.maximumAppendsPerSecond = static_cast<int>(*number);
    } else {
        return false;
    }
    return true;
}

static HttpResponse handleFaults(LogFaults &faults, LogStore &store, const HttpRequest &request)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(request.body(), error);
    if (error || !value.is_object()) {
        return makeResponse(request, http::status::bad_request, "not a JSON object\n");
    }
    for (const auto &item : value.as_object()) {
        if (!applyFault(faults, store, std::string_view(item.key().data(), item.key().size()), item.value())) {
            return makeResponse(request, http::status::bad_request, "unknown fault or invalid value: " + std::string(item.key()) + "\n");
        }
    }
    return makeResponse(request, http::status::ok, "{}\n", "application/json");
}

static HttpResponse handleStatistics(const LogStore &store, const HttpRequest &request)
{
    boost::json::object heads;
    for (const auto &[name, stream] : store.streams()) {
        heads[name] = stream.head;
    }
    const LogStore::Statistics &statistics = store.statistics();
    const boost::json::object body{{"appends", statistics.appends}, {"bytes", statistics.bytes}, {"reads", statistics.reads}, {"heads", heads}};
    return makeResponse(request, http::status::ok, boost::json::serialize(body) + "\n", "application/json");
}

LogService::LogService(asio::any_io_executor executor, const asio::ip::tcp::endpoint &endpoint)
    : m_state(std::make_shared<State>(executor))
    , m_server(executor, endpoint, [state = m_state](const HttpRequest &request) { return handle(state, request); })
{
}

LogService::~LogService()
{
    stop();
}

void LogService::start()
{
    m_server.start();
}

void LogService::stop()
{
    m_server.stop();
}

asio::ip::tcp::endpoint LogService::localEndpoint() const
{
    return m_server.localEndpoint();
}

std::string LogService::address() const
{
    return formatEndpoint(localEndpoint());
}

LogStore &LogService::store()
{
    return m_state->store;
}

LogFaults &LogService::faults()
{
    return m_state->faults;
}

asio::awaitable<HttpResponse> LogService::handle(std::shared_ptr<State> state, const HttpRequest &request)
{
    const std::string_view target(request.target().data(), request.target().size());
    const std::string_view path = target.substr(0, target.find('?'));
    if (path == "/faults" && request.method() == http::verb::post) {
        co_return handleFaults(state->faults, state->store, request);
    }
    if (path == "/statistics" && request.method() == http::verb::get) {
        co_return handleStatistics(state->store, request);
    }
    std::string stream = streamOfPath(path);
    if (stream.empty()) {
        co_return makeResponse(request, http::status::not_found, "no such path\n");
    }
    if (!state->faults.available) {
        co_return makeResponse(request, http::status::service_unavailable, "the log is unavailable\n");
    }
    if (request.method() == http::verb::post) {
        co_return co_await handleAppend(state, request, std::move(stream));
    }
    if (request.method() == http::verb::get) {
        co_return co_await handleRead(state, request, std::move(stream));
    }
    co_return makeResponse(request, http::status::method_not_allowed, "only GET and POST\n");
}

asio::awaitable<HttpResponse> LogService::handleAppend(std::shared_ptr<State> state, const HttpRequest &request, std::string stream)
{
    LogFaults &faults = state->faults;
    if (request.body().size() > MaximumLogRecordSize) {
        co_return makeResponse(request, http::status::payload_too_large, "the record is too large\n");
    }
    const TimePoint now = std::chrono::steady_clock::now();
    if (now - state->secondStart >= std::chrono::seconds(1)) {
        state->secondStart = now;
        state->appendsThisSecond = 0;
    }
    if (faults.maximumAppendsPerSecond && state->appendsThisSecond >= *faults.maximumAppendsPerSecond) {
        co_return makeResponse(request, http::status::service_unavailable, "too many appends\n");
    }
    ++state->appendsThisSecond;
    if (faults.dropAppends > 0) {
        --faults.dropAppends;
        co_return closeWithoutResponse();
    }
    const bool loseResponse = faults.loseResponses > 0;
    if (loseResponse) {
        --faults.loseResponses;
    }
    if (faults.appendDelay > std::chrono::milliseconds::zero()) {
        co_await sleepFor(state->executor, faults.appendDelay);
    }
    const std::int64_t offset = state->store.append(stream, request.body(), std::chrono::system_clock::now() + faults.clockOffset);
    for (asio::steady_timer *timer : state->waitingReads) {
        timer->cancel();
    }
    if (loseResponse) {
        co_return closeWithoutResponse();
    }
    co_return makeResponse(request, http::status::ok, "{\"offset\": " + std::to_string(offset) + "}\n", "application/json");
}

asio::awaitable<HttpResponse> LogService::handleRead(std::shared_ptr<State> state, const HttpRequest &request, std::string stream)
{
    const std::string_view target(request.target().data(), request.target().size());
    const std::size_t question = target.find('?');
    const std::string query(question == std::string_view::npos ? std::string_view() : target.substr(question + 1));
    const auto from = queryNumber(query, "from");
    const auto maximum = queryNumber(query, "max");
    const auto wait = queryNumber(query, "wait");
    if (!from || !maximum || !wait || *from < 0 || *maximum < 1 || *maximum > MaximumRecordsPerRead || *wait < 0 || *wait > MaximumWaitMs) {
        co_return makeResponse(request, http::status::bad_request, "from, max and wait must be non-negative integers within their limits\n");
    }
    if (state->faults.readDelay > std::chrono::milliseconds::zero()) {
        co_await sleepFor(state->executor, state->faults.readDelay);
    }
    const TimePoint deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(*wait);
    ReadResult result = state->store.read(stream, *from, static_cast<int>(*maximum));
    while (result.records.empty() && std::chrono::steady_clock::now() < deadline) {
        asio::steady_timer timer(state->executor, deadline);
        const auto position = state->waitingReads.insert(state->waitingReads.end(), &timer);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        state->waitingReads.erase(position);
        result = state->store.read(stream, *from, static_cast<int>(*maximum));
    }
    if (!state->faults.available) {
        co_return makeResponse(request, http::status::service_unavailable, "the log is unavailable\n");
    }
    HttpResponse response = makeResponse(request, http::status::ok, encodeRecords(result.records), "application/octet-stream");
    response.set("X-Oldest", std::to_string(result.oldest));
    response.set("X-Head", std::to_string(result.head));
    co_return response;
}

} // namespace Hyssop
