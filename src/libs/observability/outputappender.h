#pragma once

#include <log4cplus/appender.h>

#include <cstddef>
#include <string_view>

namespace Hyssop::Internal {

/// Writes log lines to standard output. Drops lines instead of blocking when a pipe is full because it is not read. A line that is
/// written in part is counted as dropped, and the next line begins on a line of its own.
class OutputAppender : public log4cplus::Appender
{
public:
    ~OutputAppender() override;

    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    /// Writes @p text as far as standard output takes it without blocking, and returns the number of bytes.
    static std::size_t write(std::string_view text);

    long m_dropped = 0; // since the last written line
    bool m_isLineOpen = false; // the last line was written in part
};

} // namespace Hyssop::Internal
