#pragma once

#include "hyssop_types.h"

#include <routing/idempotencytable.h>
#include <utils/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace Hyssop {

class MetricsRegistry;
class RequestLog;

/// The request owns its key and may be sent to a target.
struct KeyGranted
{
};

/// The request was not sent and does not own the key.
struct KeyRefused
{
    std::string reason;
};

/// Another request owns the key, and no outcome is recorded for it.
struct KeyTaken
{
};

/// Another request with a different body owns the key.
struct KeyMismatch
{
};

using KeyClaim = std::variant<KeyGranted, KeyRefused, KeyTaken, KeyMismatch, RecordedOutcome>;

namespace Internal {
struct JournalState;
}

/// Hash over method, target and body that tells whether two requests with the same key are identical.
std::int64_t requestHash(std::string_view method, std::string_view target, std::string_view body);

/// Claims idempotency keys in the request stream and records the outcomes of the requests.
class RequestJournal
{
public:
    using WindowSource = std::function<std::chrono::microseconds(const std::string &customer, const std::string &service)>;

    /// @p log must outlive the journal. @p windows returns the idempotency window of a service.
    RequestJournal(boost::asio::any_io_executor executor, RequestLog &log, MetricsRegistry &metrics, WindowSource windows);
    ~RequestJournal();

    /// Appends @p intent, reads it back and returns whether its request owns the key. Returns KeyRefused if there is no
    /// result by @p deadline.
    boost::asio::awaitable<KeyClaim> claim(Wire::RequestIntent intent, TimePoint deadline);

    /// Appends @p outcome in the background.
    void record(Wire::RequestOutcome outcome);

    const IdempotencyTable &table() const;

private:
    std::shared_ptr<Internal::JournalState> m_state;
};

} // namespace Hyssop
