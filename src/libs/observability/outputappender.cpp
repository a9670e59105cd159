#include "outputappender.h"

#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <sstream>
#include <string>

namespace Hyssop::Internal {

// A pipe that is writable takes at least this many bytes at once.
constexpr std::size_t WriteSize = PIPE_BUF;

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
    if (m_isLineOpen) {
        stream << "\n";
    }
    if (m_dropped > 0) {
        stream << "message=\"log lines dropped because standard output was not writable\" lines=" << m_dropped << "\n";
        m_dropped = 0;
    }
    layout->formatAndAppend(stream, event);
    const std::string text = stream.str();
    const std::size_t written = write(text); // only one thread of a process writes log lines
    m_isLineOpen = written > 0 && written < text.size();
    m_dropped += written < text.size() ? 1 : 0;
}

std::size_t OutputAppender::write(std::string_view text)
{
    std::size_t written = 0;
    while (written < text.size() && isWritable()) {
        const ssize_t size = ::write(STDOUT_FILENO, text.data() + written, std::min(WriteSize, text.size() - written));
        if (size <= 0) {
            break;
        }
        written += static_cast<std::size_t>(size);
    }
    return written;
}

} // namespace Hyssop::Internal
