#include <unistd.h>

namespace {

/// Loaded into a program by a test, in the place of a static destructor that waits for a thread which does not end.
struct BlockingDestructor
{
    BlockingDestructor() = default;
    BlockingDestructor(const BlockingDestructor &) = delete;
    BlockingDestructor &operator=(const BlockingDestructor &) = delete;
    ~BlockingDestructor()
    {
        for (;;) {
            ::pause();
        }
    }
};

const BlockingDestructor blockingDestructor;

} // namespace
