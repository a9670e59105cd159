#include <dispatch/advicecandidate.h>
#include <dispatch/dispatchactions.h>
#include <dispatch/ticketcache.h>
#include <ports/taskid.h>

#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <vector>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};
const TaskId Task{"job", 0, 1, 5};
const TaskId OtherTask{"job", 0, 2, 0};

/// Asks about workers that have room.
std::optional<RequestAdvice>
ask(TicketCache &cache, const TaskId &task, const std::vector<std::string> &workers, TimePoint now, const AdviceParameters &service = {})
{
    std::vector<AdviceCandidate> candidates;
    candidates.reserve(workers.size());
    for (const std::string &worker : workers) {
        candidates.push_back({worker, true});
    }
    cache.handleTick(now);
    return cache.beginRequest(task, candidates, now, service);
}

std::size_t respond(TicketCache &cache, const std::optional<RequestAdvice> &request, const AdviceResult &result, TimePoint sentAt, TimePoint now)
{
    cr_assert(request.has_value());
    return cache.handleResult(*request, result, true, sentAt, now);
}

} // namespace

// Guards against a burden on a service that handles one request at a time: an overdue request is repeated once, and not before it is overdue.
Test(ticketCache, anOverdueRequestIsRepeatedOnce)
{
    TicketCache cache;
    const AdviceParameters service{400ms, 100ms, 3s};
    const auto first = ask(cache, Task, {"w"}, Begin, service);
    cr_assert(first && first->workers.size() == 1);
    cr_assert_not(cache.canRequest(Task, Begin + 900ms), "the service takes 500 ms");
    const auto repetition = ask(cache, Task, {"w"}, Begin + 1100ms, service);
    cr_assert(repetition && repetition->workers.size() == 1);
    cr_assert_not(cache.canRequest(Task, Begin + 10s), "two requests are pending");
    respond(cache, first, Error{ErrorCode::Timeout, "timeout"}, Begin, Begin + 5s);
    cr_assert(cache.canRequest(Task, Begin + 6s));
}

// Guards against repetitions of requests that only wait for others: the service handles the requests of an instance in turn.
Test(ticketCache, requestsOfOtherStepsDelayAnExpectedResponse)
{
    TicketCache cache;
    const AdviceParameters service{200ms, 0ms, 3s};
    respond(cache, ask(cache, {"job", 0, 3, 0}, {"w"}, Begin - 200ms, service), PlacementAdvice{{}, 3s}, Begin - 200ms, Begin);
    for (int step = 0; step < 3; ++step) {
        cr_assert(ask(cache, {"job", 0, step, 0}, {"w"}, Begin, service));
    }
    cr_assert_not(cache.canRequest({"job", 0, 0, 0}, Begin + 650ms));
    cr_assert(cache.canRequest({"job", 0, 0, 0}, Begin + 750ms));
    cr_assert_not(cache.canRequest({"job", 0, 2, 0}, Begin + 1050ms));
    cr_assert(cache.canRequest({"job", 0, 2, 0}, Begin + 1150ms));
}

// Guards against a service that has become slow and is then asked twice about each step.
Test(ticketCache, lateResponsesDelayRepetitions)
{
    TicketCache cache;
    const PlacementAdvice advice{{{"w", "t"}}, 3s};
    respond(cache, ask(cache, Task, {"w"}, Begin), advice, Begin, Begin + 2s);
    cr_assert(ask(cache, OtherTask, {"w"}, Begin + 10s));
    cr_assert_not(cache.canRequest(OtherTask, Begin + 13s));
    cr_assert(cache.canRequest(OtherTask, Begin + 15s));
}

// Guards against a ticket that a late response to the first request replaces by one that expires earlier.
Test(ticketCache, aLateResponseDoesNotShortenATicket)
{
    TicketCache cache;
    const auto first = ask(cache, Task, {"w"}, Begin);
    const auto repetition = ask(cache, Task, {"w"}, Begin + 1s);
    cr_assert(repetition && repetition->workers.size() == 1);
    respond(cache, repetition, PlacementAdvice{{{"w", "new"}}, 3s}, Begin + 1s, Begin + 1100ms);
    respond(cache, first, PlacementAdvice{{{"w", "old"}}, 3s}, Begin, Begin + 1200ms);
    const auto *tickets = cache.tickets(Task, Begin + 3500ms);
    cr_assert(tickets != nullptr && tickets->at("w") == "new");
}

Test(ticketCache, returnsTicketsWhileTheyAreValid)
{
    TicketCache cache;
    const auto first = ask(cache, Task, {"w"}, Begin);
    cr_assert(first && first->workers.size() == 1);
    cr_assert_not(ask(cache, Task, {"w"}, Begin).has_value(), "one request at a time");
    respond(cache, first, PlacementAdvice{{{"w", "t"}}, 3s}, Begin, Begin + 100ms);
    cr_assert_eq(cache.tickets(Task, Begin + 1s)->at("w"), "t");
    cache.discard(Task, "w", Begin + 1s);
    cr_assert_null(cache.tickets(Task, Begin + 1s));
    cr_assert_not(cache.canRequest(Task, Begin + 1s), "a rejected ticket is replaced after a delay");
    const auto next = ask(cache, Task, {"w"}, Begin + 2s);
    cr_assert(next && next->workers.size() == 1);
    respond(cache, next, PlacementAdvice{{{"w", "t"}}, 3s}, Begin + 2s, Begin + 2s);
    cr_assert_null(cache.tickets(Task, Begin + 5s));
}

Test(ticketCache, asksAboutAllowedWorkersFirstAndNeverAboutExcludedOnes)
{
    TicketCache cache;
    const auto first = ask(cache, Task, {"a", "b"}, Begin);
    cr_assert(first && first->workers.size() == 2);
    respond(cache, first, PlacementAdvice{{{"b", "t"}}, 1s}, Begin, Begin);
    const auto next = ask(cache, Task, {"a", "new", "b"}, Begin + 2s);
    cr_assert_null(cache.tickets(Task, Begin + 2s));
    cr_assert(next && next->workers == (std::vector<std::string>{"b", "new"}));
}

// Guards against tickets that count from the time at which the service was asked, though it decided on other steps first.
Test(ticketCache, theTimeInTheQueueOfTheServiceDoesNotShortenATicket)
{
    TicketCache cache;
    const AdviceParameters service{1s, 0ms, 3s};
    const PlacementAdvice advice{{{"w", "t"}}, 3s};
    const auto first = ask(cache, Task, {"w"}, Begin, service);
    const auto second = ask(cache, OtherTask, {"w"}, Begin, service);
    respond(cache, first, advice, Begin, Begin + 1020ms);
    respond(cache, second, advice, Begin, Begin + 2020ms);
    cr_expect(cache.tickets(OtherTask, Begin + 4600ms) != nullptr, "it was decided on 2 s after the request");
    cr_expect(cache.tickets(OtherTask, Begin + 4800ms) == nullptr, "it expires 3 s after the decision");
    cr_expect(cache.tickets(Task, Begin + 3800ms) == nullptr, "it expires 3 s after the first decision");
}

// Guards against a caller of the service that takes the response to a request of an earlier term for one of the present term.
Test(ticketCache, aResponseToARequestOfAnEarlierTermEndsNoPresentOne)
{
    TicketCache cache;
    const auto earlier = ask(cache, Task, {"w"}, Begin);
    cache.clear();
    const auto present = ask(cache, Task, {"w"}, Begin + 100ms);
    respond(cache, earlier, Error{ErrorCode::Closed, "closed"}, Begin, Begin + 200ms);
    cr_expect_not(cache.canRequest(Task, Begin + 300ms), "the present request is pending");
    respond(cache, present, PlacementAdvice{{{"w", "t"}}, 3s}, Begin + 100ms, Begin + 300ms);
    cr_expect(cache.tickets(Task, Begin + 400ms) != nullptr);
}

// Guards against a lost response that keeps all steps from asking while requests of another one fail.
Test(ticketCache, aFailureBesideALostResponseStopsNobody)
{
    TicketCache cache;
    ask(cache, Task, {"w"}, Begin);
    const auto failing = ask(cache, OtherTask, {"w"}, Begin);
    respond(cache, failing, Error{ErrorCode::Refused, "400"}, Begin, Begin + 10ms);
    cr_expect_not(cache.canRequest({"job", 0, 3, 0}, Begin + 400ms), "one request at a time after a failure");
    cr_expect(cache.canRequest({"job", 0, 3, 0}, Begin + 1200ms));
}
