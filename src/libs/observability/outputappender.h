#pragma once

#include <log4cplus/appender.h>

namespace Hyssop::Internal {

/// Writes log lines to standard output. Drops lines instead of blocking when a pipe is full because it is not read.
class OutputAppender : public log4cplus::Appender
{
public:
    ~OutputAppender() override;

    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    long m_dropped = 0; // since the last written line
};

} // namespace Hyssop::Internal
