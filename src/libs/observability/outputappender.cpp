#include "outputappender.h"

#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <sstream>
#include <string>

namespace Hyssop::Internal {

static bool isWritable()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

OutputAppender::~OutputAppender()
{
    destructorImpl();
}

void OutputAppender::close()
{
    closed = true;
}

void OutputAppender::append(const log4cplus::spi::InternalLoggingEvent &event)
{
    if (!isWritable()) {
        ++m_dropped;
        return;
    }
    std::ostringstream stream;
    if (m_dropped > 0) {
        stream << "message=\"log lines dropped because standard output was not writable\" lines=" << m_dropped << "\n";
        m_dropped = 0;
    }
    layout->formatAndAppend(stream, event);
    const std::string text = stream.str();
    // Only one thread of a process writes log lines. The remainder of a partial write to a pipe is dropped.
    if (::write(STDOUT_FILENO, text.data(), text.size()) < 0) {
        ++m_dropped;
    }
}

} // namespace Hyssop::Internal
