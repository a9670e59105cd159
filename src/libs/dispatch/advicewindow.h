#pragma once

#include <utils/clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Hyssop {

/// Bounds the requests to the advice service that have no response yet, and tells when the service has decided on one at the earliest.
///
/// Load pattern: more steps need advice than the service handles, for a moment or for long. The service handles the requests of an instance
/// one at a time in their order, and one that waits there can't be withdrawn. So steps wait for the window, and the service has only what it
/// will decide soon, whatever the backlog. The rate of the service is observed, as it
/// can be slower than announced.
///
/// A response proves that the responses to all earlier requests are lost or under way. These are overdue, and don't fill the window.
///
/// Invariant: at most MaximumSize requests have no response. Beyond MinimumSize they are work for MaximumResponseTime, unless the service is
/// silent: then single requests follow in growing intervals.
class AdviceWindow
{
public:
    static constexpr std::size_t MinimumSize = 2; // the service has work while a response is under way
    static constexpr std::size_t MaximumSize = 16; // half of what the service lets wait
    static constexpr std::chrono::milliseconds MaximumResponseTime{500};

    /// Returns true if another request can be sent.
    bool isOpen(TimePoint now) const;

    /// Returns true if the service has nothing to do.
    bool isIdle() const { return m_requests.empty(); }

    /// Records a request that is sent now, and that takes the service @p serviceTime by what is announced. Returns its number.
    std::int64_t begin(Duration serviceTime, TimePoint now);

    /// Returns how long a response to a request that is sent now is worth waiting for. Longer after timeouts: a service that takes longer than the
    /// timeout would handle request after request in vain.
    std::chrono::milliseconds timeout(Duration serviceTime, TimePoint now) const;

    /// Returns true if the response to a request should have arrived, or there is no such request.
    bool isOverdue(std::int64_t number, TimePoint now) const;

    /// Returns true if there was a response to a later request, or there is no such request.
    bool isOvertaken(std::int64_t number) const;

    /// Ends a request with the decision of the service. Returns the earliest time at which the service can have decided; that is @p sentAt for
    /// a request of an earlier term.
    TimePoint handleDecision(std::int64_t number, TimePoint sentAt, TimePoint now);

    /// Ends a request that was rejected or has failed.
    void handleFailure(std::int64_t number);

    /// Ends a request without a response.
    void handleTimeout(std::int64_t number);

    /// Forgets all requests. Numbers are not used again.
    void clear();

private:
    struct Request
    {
        std::int64_t number = 0;
        TimePoint sentAt{};
        Duration serviceTime{0}; // as announced
        bool isOvertaken = false; // there was a response to a later request
    };

    using Requests = std::vector<Request>;

    /// Returns true if a response should have arrived, and none has since.
    bool isSilent(TimePoint now) const;

    /// Returns the time between two requests while there are no responses.
    Duration probeInterval() const;

    /// Returns the time at which the response to the last of the requests in [@p begin, @p end) is expected.
    TimePoint expectedResponse(Requests::const_iterator begin, Requests::const_iterator end) const;
    bool isOverdue(Requests::const_iterator request, TimePoint now) const;
    void updateDelay(const Request &request, TimePoint now);
    Requests::iterator find(std::int64_t number);

    Requests m_requests; // in the order in which they were sent
    std::int64_t m_lastNumber = 0;
    Duration m_delay{0}; // moving maximum of what a request takes beyond its announced time
    TimePoint m_lastSentAt{};
    TimePoint m_lastResponseAt{};
    std::int64_t m_decidedNumber = 0; // of the last request with a decision
    TimePoint m_decidedAt{}; // earliest time of that decision
    int m_failures = 0; // since the last decision
    int m_timeouts = 0; // since the last decision
    int m_probes = 0; // requests while there were no responses, since the last decision
};

} // namespace Hyssop
