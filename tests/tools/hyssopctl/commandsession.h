#pragma once

#include <hyssopctl/commandline.h>

#include <golden/goldenfile.h>
#include <libs/operators/fakescheduler.h>

#include <boost/algorithm/string.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace Hyssop::Test {

/// Runs fake schedulers in a separate thread, because a command blocks the test's thread until it has ended.
class SchedulerThread
{
public:
    explicit SchedulerThread(const std::vector<std::string> &domains = {"east-a", "east-a"})
    {
        for (const std::string &domain : domains) {
            m_schedulers.push_back(std::make_unique<FakeScheduler>(m_context, m_store, domain));
        }
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~SchedulerThread()
    {
        m_context.stop();
        m_thread.join();
    }

    /// Runs @p operation in the schedulers' thread and waits until it has finished.
    template<typename Operation>
    void run(Operation operation)
    {
        std::promise<void> done;
        asio::post(m_context, [&] {
            operation();
            done.set_value();
        });
        done.get_future().wait();
    }

    void addFault(std::size_t scheduler, Fault fault)
    {
        run([&] { m_schedulers[scheduler]->addFault(fault); });
    }

    std::string address(std::size_t scheduler) const { return m_schedulers[scheduler]->address(); }
    std::size_t count() const { return m_schedulers.size(); }
    FakeStore &store() { return m_store; }
    FakeScheduler &scheduler(std::size_t index) { return *m_schedulers[index]; }

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()};
    FakeStore m_store;
    std::vector<std::unique_ptr<FakeScheduler>> m_schedulers;
    std::thread m_thread;
};

/// Runs command lines against the schedulers of a SchedulerThread and records their output and exit codes.
class CommandSession
{
public:
    explicit CommandSession(SchedulerThread &schedulers)
    {
        for (std::size_t index = 0; index < schedulers.count(); ++index) {
            m_addresses.push_back(schedulers.address(index));
        }
    }

    /// Each element is one argument; "DATA/" stands for this folder and "EXAMPLES/" for the example contracts.
    ExitCode run(const std::vector<std::string> &arguments)
    {
        std::ostringstream out;
        std::ostringstream err;
        CommandEnvironment environment{
            out,
            err,
            boost::join(m_addresses, ","),
            "nino",
            [this] { return "id-" + std::to_string(++m_lastId); },
            [] { return std::chrono::milliseconds(1796378400000); },
        };
        std::vector<std::string> words = arguments;
        for (std::string &word : words) {
            boost::replace_first(word, "DATA/", dataFolder());
            boost::replace_first(word, "EXAMPLES/", exampleFolder());
        }
        const ExitCode code = runCommandLine(words, environment);
        m_out = out.str();
        m_err = err.str();
        record(arguments, code);
        return code;
    }

    const std::string &out() const { return m_out; }
    const std::string &err() const { return m_err; }

    /// All command lines so far with their output and exit codes. Addresses and paths are replaced by placeholders.
    const std::string &transcript() const { return m_transcript; }

private:
    static std::string dataFolder() { return std::string(HYSSOP_TEST_DATA) + "/tools/hyssopctl/"; }
    static std::string exampleFolder() { return std::string(HYSSOP_TEST_DATA) + "/../examples/contracts/"; }

    void record(const std::vector<std::string> &arguments, ExitCode code)
    {
        std::string text = "$ hyssopctl";
        for (const std::string &argument : arguments) {
            text += argument.find(' ') == std::string::npos ? " " + argument : " \"" + argument + "\"";
        }
        text += "\n" + m_out;
        if (!m_err.empty()) {
            text += "stderr:\n" + m_err;
        }
        text += "exit " + std::to_string(static_cast<int>(code)) + "\n\n";
        for (std::size_t index = 0; index < m_addresses.size(); ++index) {
            boost::replace_all(text, m_addresses[index], "SCHEDULER-" + std::to_string(index + 1));
        }
        boost::replace_all(text, dataFolder(), "DATA/");
        boost::replace_all(text, exampleFolder(), "EXAMPLES/");
        m_transcript += text;
    }

    std::vector<std::string> m_addresses;
    std::string m_out;
    std::string m_err;
    std::string m_transcript;
    int m_lastId = 0;
};

} // namespace Hyssop::Test
