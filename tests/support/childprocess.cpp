#include "childprocess.h"

#include <boost/process.hpp>
#include <boost/process/extend.hpp>

#include <sys/prctl.h>

#include <csignal>
#include <iterator>
#include <thread>

namespace Hyssop::Testing {

namespace bp = boost::process;

static std::string programPath(const std::string &program)
{
    const bool standIn = program.starts_with("standin-");
    return std::string(HYSSOP_BUILD_DIR) + (standIn ? "/tests/" : "/src/") + program;
}

// A failed Criterion assertion ends the test's process without running destructors; the kernel then kills the child.
static void killWithParent()
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
}

// child::wait_for() of Boost 1.81 forks a helper process and must not run in two threads; polling has neither problem.
static bool waitForChild(bp::child &child, std::chrono::milliseconds timeout)
{
    constexpr std::chrono::milliseconds PollInterval{5};
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    std::error_code ignored;
    while (child.running(ignored)) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

struct ChildProcess::Private
{
    bp::ipstream output;
    bp::child child;
};

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile, ChildOutput output)
    : m_private(std::make_unique<Private>())
{
    if (output == ChildOutput::LogFile) {
        m_private->child = bp::child(bp::exe = programPath(program),
                                     bp::args = arguments,
                                     (bp::std_out & bp::std_err) > logFile,
                                     bp::std_in < bp::null,
                                     bp::extend::on_exec_setup([](auto &) { killWithParent(); }));
        return;
    }
    m_private->child = bp::child(bp::exe = programPath(program),
                                 bp::args = arguments,
                                 bp::std_out > m_private->output,
                                 bp::std_err > logFile,
                                 bp::std_in < bp::null,
                                 bp::extend::on_exec_setup([](auto &) { killWithParent(); }));
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept = default;
ChildProcess &ChildProcess::operator=(ChildProcess &&other) noexcept = default;

ChildProcess::~ChildProcess()
{
    if (m_private) {
        kill();
    }
}

std::string ChildProcess::readAddress()
{
    const std::string prefix = "listening on ";
    std::string line;
    while (std::getline(m_private->output, line)) {
        if (line.starts_with(prefix)) {
            return line.substr(prefix.size());
        }
    }
    return {};
}

void ChildProcess::sendSignal(int signal) const
{
    ::kill(m_private->child.id(), signal);
}

void ChildProcess::kill()
{
    std::error_code ignored;
    if (m_private->child.running(ignored)) {
        // SIGKILL also ends a process that SIGSTOP has stopped.
        m_private->child.terminate(ignored);
        m_private->child.wait(ignored);
    }
}

bool ChildProcess::running()
{
    std::error_code ignored;
    return m_private->child.running(ignored);
}

int ChildProcess::waitForExit(std::chrono::milliseconds timeout)
{
    if (!waitForChild(m_private->child, timeout)) {
        return -1;
    }
    return m_private->child.exit_code();
}

ProgramResult runProgram(const std::string &program, const std::vector<std::string> &arguments, std::chrono::milliseconds timeout)
{
    bp::ipstream output;
    bp::ipstream errors;
    bp::child child(bp::exe = programPath(program), bp::args = arguments, bp::std_out > output, bp::std_err > errors, bp::std_in < bp::null);
    ProgramResult result;
    // The programs write little, so the pipes can't fill up before they exit.
    if (!waitForChild(child, timeout)) {
        std::error_code ignored;
        child.terminate(ignored);
        return result;
    }
    result.exitCode = child.exit_code();
    result.output.assign(std::istreambuf_iterator<char>(output), {});
    result.errors.assign(std::istreambuf_iterator<char>(errors), {});
    return result;
}

} // namespace Hyssop::Testing
