#pragma once

#include <log4cplus/appender.h>

namespace Hyssop::Internal {

/// Writes log lines to standard output and drops those that would block because nobody reads them.
class OutputAppender : public log4cplus::Appender
{
public:
    ~OutputAppender() override;

    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    long m_dropped = 0; // since the last line that was written
};

} // namespace Hyssop::Internal
