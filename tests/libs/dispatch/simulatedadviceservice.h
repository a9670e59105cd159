#pragma once

#include <dispatch/dispatchactions.h>
#include <ports/adviceservice.h>
#include <ports/clusterconfig.h>
#include <utils/clock.h>

#include <cstddef>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Hyssop::Testing {

/// An advice service that follows the platform's contract: it handles one request at a time, lets a bounded number wait, and handles a request
/// also if nobody waits for the response any more. A ticket is valid from the decision on.
class SimulatedAdviceService
{
public:
    using ResponseHandler = std::function<void(const RequestAdvice &, const AdviceResult &, TimePoint sentAt)>;

    AdviceParameters parameters{std::chrono::milliseconds(100), std::chrono::milliseconds(5), std::chrono::milliseconds(3000)};
    int slowness = 1; // factor of the announced times
    Duration transit{std::chrono::milliseconds(1)}; // of a message
    int lostResponsesOf = 0; // every so many responses, one is lost; 0: none
    std::set<std::string> failingJobs; // a request for one of them is an error
    std::set<std::string> allowedWorkers; // empty: all

    void send(const RequestAdvice &request, TimePoint now);

    /// Delivers the responses and timeouts that are due.
    void advance(TimePoint now, const ResponseHandler &onResponse);

    /// Decides on nothing before @p time.
    void stallUntil(TimePoint time);

    /// Returns true if @p ticket permits a run of the step of @p task on @p worker.
    bool isValid(const std::string &ticket, const TaskId &task, const std::string &worker, TimePoint now) const;

    std::size_t decisions() const { return m_decisions; }
    std::size_t refusals() const { return m_refusals; } // because too many requests were waiting

private:
    struct Call
    {
        RequestAdvice request;
        TimePoint sentAt{};
        TimePoint decidedAt{};
        AdviceResult result;
        TimePoint respondsAt{};
    };

    std::size_t waitingRequests(TimePoint now) const;
    void decide(Call &call);

    std::vector<Call> m_calls; // without a response so far
    std::vector<TimePoint> m_decisionTimes; // of all requests, also those without a caller
    std::map<std::string, TimePoint> m_tickets; // end of the validity by ticket
    TimePoint m_busyUntil{};
    std::size_t m_decisions = 0;
    std::size_t m_refusals = 0;
};

} // namespace Hyssop::Testing
