#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Hyssop::Testing {

/// Exit status and output of a program that has exited.
struct ProgramResult
{
    int exitCode = -1;
    std::string output; // standard output
    std::string errors; // standard error
};

enum class ChildOutput {
    Pipe, // for readAddress()
    LogFile, // together with standard error
};

/// A program started by a test. The destructor kills it if it still runs.
class ChildProcess
{
public:
    /// Starts @p program from the build directory. Standard error goes to @p logFile.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile, ChildOutput output = ChildOutput::Pipe);
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;

    /// Reads the line "listening on ADDRESS" from standard output and returns the address.
    std::string readAddress();

    void sendSignal(int signal) const;
    void kill();
    bool running();

    /// Waits for the program to exit and returns the exit code; -1 if it still runs after @p timeout.
    int waitForExit(std::chrono::milliseconds timeout);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

/// Runs a program until it exits, for at most @p timeout.
ProgramResult runProgram(const std::string &program, const std::vector<std::string> &arguments, std::chrono::milliseconds timeout = std::chrono::seconds(30));

} // namespace Hyssop::Testing
