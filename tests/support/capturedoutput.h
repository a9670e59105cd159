#pragma once

#include <unistd.h>

#include <cstdio>
#include <string>

namespace Hyssop::Testing {

/// Standard output of the process, redirected to a temporary file.
class CapturedOutput
{
public:
    CapturedOutput()
        : m_original(::dup(STDOUT_FILENO))
    {
        std::fflush(stdout);
        ::dup2(::fileno(m_file), STDOUT_FILENO);
    }

    CapturedOutput(const CapturedOutput &) = delete;
    CapturedOutput &operator=(const CapturedOutput &) = delete;

    ~CapturedOutput()
    {
        ::dup2(m_original, STDOUT_FILENO);
        ::close(m_original);
        std::fclose(m_file);
    }

    std::string text() const
    {
        std::string result;
        std::rewind(m_file);
        for (int character = std::fgetc(m_file); character != EOF; character = std::fgetc(m_file)) {
            result += static_cast<char>(character);
        }
        return result;
    }

private:
    std::FILE *m_file = std::tmpfile();
    int m_original;
};

} // namespace Hyssop::Testing
