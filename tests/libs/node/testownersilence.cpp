#include <node/ownersilence.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};

} // namespace

Test(ownerSilence, timeBetweenUsualReadsCounts)
{
    OwnerSilence silence;
    silence.handleRecord(Begin);
    silence.handleRead(Begin + 800ms);
    silence.handleRead(Begin + 1600ms);
    cr_assert(silence.duration() == 1600ms);
    silence.handleRecord(Begin + 1700ms);
    cr_assert(silence.duration() == 0ms);
}

// Guards against a claim by the first instance that reads after the store was silent for all.
Test(ownerSilence, timeWithoutReadsDoesNotCount)
{
    OwnerSilence silence;
    silence.handleRecord(Begin);
    silence.handleRead(Begin + 800ms);
    silence.handleRead(Begin + 6s);
    cr_assert(silence.duration() == 0ms);
    silence.handleRead(Begin + 6700ms);
    cr_assert(silence.duration() == 700ms);
}

// Guards against a topic without an owner, if all instances that are left read slowly.
Test(ownerSilence, slowReadsCountInTheEnd)
{
    OwnerSilence silence;
    silence.handleRecord(Begin);
    for (int read = 1; read <= 12; ++read) {
        silence.handleRead(Begin + read * 2s);
    }
    cr_assert(silence.duration() >= 5s);
}
