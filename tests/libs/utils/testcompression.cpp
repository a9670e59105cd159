#include <utils/compression.h>

#include <criterion/criterion.h>

#include <random>
#include <string>

using namespace Hyssop;

static bool isRejected(const std::string &bytes, std::size_t size)
{
    auto outcome = capture([&] { return inflated(bytes, size); });
    return errorOf(outcome) != nullptr;
}

static bool survives(const std::string &text)
{
    auto outcome = capture([&] { return inflated(deflated(text), text.size()); });
    return valueOf(outcome) != nullptr && *valueOf(outcome) == text;
}

Test(compression, bytesOfAnyKindAndSizeAreRestored)
{
    std::minstd_rand random(1);
    std::string noise;
    for (const std::size_t size : {0, 1, 100, 70000, 1000000}) {
        cr_assert(survives(std::string(size, 'x')));
        while (noise.size() < size) {
            noise.push_back(static_cast<char>(random()));
        }
        cr_assert(survives(noise), "%zu bytes", size);
    }
}

Test(compression, damagedBytesAndWrongSizesAreRejected)
{
    const std::string text(10000, 'x');
    const std::string bytes = deflated(text);
    cr_assert(isRejected(bytes, text.size() - 1));
    cr_assert(isRejected(bytes, text.size() + 1));
    cr_assert(isRejected(bytes.substr(0, bytes.size() / 2), text.size()));
    cr_assert(isRejected(bytes + "x", text.size()));
    cr_assert(isRejected("not compressed", 100));
    cr_assert(isRejected("", 0));
}

Test(compression, impossibleSizesTakeNoMemory)
{
    constexpr std::size_t TooLarge = std::size_t{1} << 60U;
    auto outcome = capture([&] { return inflated(deflated("x"), TooLarge); });
    const Error *error = errorOf(outcome);
    cr_assert_not_null(error);
    // An allocation that fails is an internal error.
    cr_assert(error->code == ErrorCode::Malformed, "%s", error->message.c_str());
}
