#include "discardedoutput.h"

#include <cstdio>

#include <fcntl.h>
#include <unistd.h>

namespace Hyssop::Bench {

DiscardedOutput::DiscardedOutput()
    : m_output(dup(STDOUT_FILENO))
{
    std::fflush(stdout);
    const int discarding = open("/dev/null", O_WRONLY | O_CLOEXEC);
    dup2(discarding, STDOUT_FILENO);
    close(discarding);
}

DiscardedOutput::~DiscardedOutput()
{
    std::fflush(stdout);
    dup2(m_output, STDOUT_FILENO);
    close(m_output);
}

} // namespace Hyssop::Bench
