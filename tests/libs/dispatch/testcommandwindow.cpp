#include <dispatch/commandwindow.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr auto RoundTime = 200ms;
constexpr int ResponsesPerRound = 100;

/// Lets @p window count responses for @p rounds, of which @p slowShare percent are slow.
void respond(CommandWindow &window, TimePoint &now, int rounds, int slowShare)
{
    for (int round = 0; round < rounds; ++round) {
        for (int response = 0; response < ResponsesPerRound; ++response) {
            now += RoundTime / ResponsesPerRound;
            window.recordResponse(response < slowShare ? 500ms : 5ms, now);
        }
    }
}

} // namespace

Test(commandWindow, growsWhileResponsesAreFast)
{
    CommandWindow window;
    TimePoint now{1000s};
    const std::size_t initial = window.size();
    respond(window, now, 20, 0);
    cr_assert_gt(window.size(), 4 * initial);
    cr_assert_eq(window.room(window.size() - 1), 1);
    cr_assert_eq(window.room(window.size() + 1), 0);
}

Test(commandWindow, shrinksWhileMostResponsesAreSlowAndRecovers)
{
    CommandWindow window;
    TimePoint now{1000s};
    respond(window, now, 20, 90);
    cr_assert(window.isCongested());
    cr_assert_lt(window.size(), 20);
    cr_assert_gt(window.room(0), 0, "tasks that must run are started even then");
    respond(window, now, 40, 0);
    cr_assert_not(window.isCongested());
    cr_assert_gt(window.size(), 256);
}

Test(commandWindow, ignoresAFewSlowOrSilentWorkers)
{
    CommandWindow window;
    TimePoint now{1000s};
    const std::size_t initial = window.size();
    respond(window, now, 20, 20);
    for (int response = 0; response < ResponsesPerRound / 5; ++response) {
        window.recordTimeout(now);
    }
    respond(window, now, 5, 0);
    cr_assert_geq(window.size(), initial);
}
