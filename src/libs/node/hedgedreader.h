#pragma once

#include <ports/storeresults.h>
#include <ports/topic.h>
#include <utils/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace Hyssop {

class MetadataStore;

/// Reads records of a topic with hedged requests: a read without a response is sent again before it times out, and the first response
/// counts. The number of open reads is bounded, which also bounds the bytes that are read more than once.
class HedgedReader
{
public:
    struct Response
    {
        TopicReadResult result;
        TimePoint sentAt{}; // of the read that was answered
    };

    /// @p clock and @p store must outlive the reader; @p store must outlive the open reads too.
    HedgedReader(const boost::asio::any_io_executor &executor, const Clock &clock, MetadataStore &store, Topic topic);
    ~HedgedReader();

    HedgedReader(const HedgedReader &) = delete;
    HedgedReader &operator=(const HedgedReader &) = delete;

    /// Reads records, starting at offset @p from. Waits up to @p wait for the first record; repetitions do not wait. Returns none if
    /// @p isWanted returns false when the read would be repeated. One call at a time.
    boost::asio::awaitable<std::optional<Response>> read(std::int64_t from, std::chrono::milliseconds wait, std::function<bool()> isWanted);

private:
    struct State;

    static boost::asio::awaitable<void> receive(std::shared_ptr<State> state, std::int64_t from, std::chrono::milliseconds wait, TimePoint sentAt);
    void send(std::int64_t from, std::chrono::milliseconds wait);
    boost::asio::awaitable<void> waitForResponse(TimePoint until);
    std::optional<Response> finish();

    std::shared_ptr<State> m_state; // shared with the open reads, which may outlive the reader
};

} // namespace Hyssop
