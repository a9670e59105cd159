#include <platform/instancelistclient.h>

#include <criterion/criterion.h>

#include <random>

using namespace Hyssop;

static Outcome<std::vector<InstanceState>> parsed(std::string_view text)
{
    return capture([&] { return parseInstanceList(text); });
}

// Guards against a leaving instance that is treated as live.
Test(instancelist, readsStates)
{
    auto outcome = parsed(R"([{"id":"worker-1","address":"127.0.0.1:1","state":"live"},{"id":"worker-2","state":"leaving"},{"id":"worker-3","state":"new"}])");
    const auto *instances = valueOf(outcome);
    cr_assert(instances != nullptr);
    cr_assert_eq(instances->size(), 3);
    cr_assert((*instances)[0].address == "127.0.0.1:1" && !(*instances)[0].leaving);
    cr_assert((*instances)[1].leaving);
    cr_assert(!(*instances)[2].leaving);
}

// Guards against a malformed list that stops the gateway or is treated as an empty list. The seed is fixed.
Test(instancelist, rejectsMalformedLists)
{
    for (const std::string_view text : {"", "{}", "[1]", "[{}]", "[{\"id\":7}]", "[{\"id\":\"a\"}"}) {
        auto outcome = parsed(text);
        cr_assert(errorOf(outcome) != nullptr, "%s", std::string(text).c_str());
    }
    constexpr int InputCount = 2000;
    std::mt19937_64 random(20261204);
    for (int i = 0; i < InputCount; ++i) {
        std::string text = R"([{"id":"worker-1","address":"127.0.0.1:1","state":"leaving"}])";
        text[random() % text.size()] = static_cast<char>(random());
        text.erase(random() % text.size(), random() % 3);
        parsed(text);
    }
}
