#include "gatewayfixture.h"

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace Hyssop::Testing;
namespace asio = boost::asio;

static asio::awaitable<void> checkServes(GatewayFixture &fixture)
{
    Caller caller(fixture.endpoint());
    for (int i = 0; i < 10; ++i) {
        const std::string id = std::to_string(i);
        const CallerAnswer answer = co_await caller.send("POST", "/cascadia/sales/echo/x?y=1", id, "body " + id);
        cr_assert(!answer.error, "%s", answer.error.message().c_str());
        cr_assert_eq(answer.response.result_int(), 200);
        const std::string expected = "id=" + id + " path=/echo/x?y=1 body=body " + id;
        cr_assert_str_eq(answer.response.body().c_str(), expected.c_str());
        cr_assert_str_eq(answer.outcome().c_str(), "known");
        cr_assert(!answer.response["Hyssop-Request-Id"].empty());
        cr_assert(answer.keepAlive);
    }
    cr_assert_eq(fixture.targets[0]->totalExecutions(), 10);
}

// Guards against requests that don't reach a target of their service or lose a part on the way.
Test(gatewaysession, servesRequestsOnOneConnection)
{
    GatewayFixture fixture;
    fixture.run(checkServes(fixture));
}
