#include "commandsession.h"

using namespace Hyssop;
using namespace Hyssop::Test;

using Words = std::vector<std::string>;

static const Words SubmitReport{"job",
                                "submit",
                                "--customer",
                                "mtkvari",
                                "--team",
                                "reports",
                                "--task",
                                "monthly",
                                "--cores",
                                "2",
                                "--memory",
                                "4 GB",
                                "--run-time",
                                "20 min",
                                "--job-id",
                                "report-11",
                                "--domain",
                                "east-a",
                                "report --month 11"};

static void checkSession(const CommandSession &session, const std::string &name)
{
    const std::string difference = differenceFromGolden("cli-" + name, session.transcript());
    cr_assert(difference.empty(), "%s", difference.c_str());
}

/// Runs a command once with each output format.
static void runInBothFormats(CommandSession &session, Words words)
{
    session.run(words);
    words.insert(words.begin(), {"--output", "json"});
    session.run(words);
}

// Operators and their scripts rely on the output of the contract commands, including that of conflicts.
Test(cli, contractCommands)
{
    SchedulerThread schedulers;
    CommandSession session(schedulers);
    session.run({"contract", "apply", "DATA/faulty.ini"});
    session.run({"contract", "get", "mtkvari"});
    session.run({"contract", "apply", "EXAMPLES/mtkvari.ini"});
    session.run({"--operator", "tamar", "contract", "apply", "DATA/mtkvari-changed.ini"});
    session.run({"contract", "apply", "EXAMPLES/mtkvari.ini", "--base", "1"});
    session.run({"contract", "apply", "EXAMPLES/mtkvari.ini", "--base", "1", "--output", "json"});
    session.run({"contract", "apply", "EXAMPLES/cascadia.ini", "--output", "json"});
    runInBothFormats(session, {"contract", "list"});
    runInBothFormats(session, {"contract", "diff", "mtkvari", "EXAMPLES/mtkvari.ini"});
    session.run({"contract", "diff", "mtkvari", "DATA/mtkvari-changed.ini"});
    runInBothFormats(session, {"contract", "history", "mtkvari"});
    runInBothFormats(session, {"contract", "get", "mtkvari"});
    checkSession(session, "contract");
}

// Operators and their scripts rely on the output of the domain commands.
Test(cli, domainCommands)
{
    SchedulerThread schedulers;
    CommandSession session(schedulers);
    session.run({"domain", "out", "east-b"});
    session.run({"domain", "in", "east-b", "--base", "0"});
    session.run({"domain", "in", "east-b"});
    session.run({"domain", "out", "west-a", "--output", "json"});
    runInBothFormats(session, {"domain", "status"});
    runInBothFormats(session, {"audit", "--prefix", "domain/"});
    checkSession(session, "domain");
}

// Operators and their scripts rely on the output of the job commands.
Test(cli, jobCommands)
{
    SchedulerThread schedulers;
    CommandSession session(schedulers);
    session.run({"contract", "apply", "EXAMPLES/mtkvari.ini", "--base", "0"});
    runInBothFormats(session, SubmitReport);
    runInBothFormats(session, {"job", "list", "--customer", "mtkvari"});
    runInBothFormats(session, {"job", "status", "report-11"});
    runInBothFormats(session, {"job", "cancel", "report-11"});
    session.run({"job", "status", "report-12"});
    session.run({"job", "cancel", "report-12"});
    checkSession(session, "job");
}

// Operators and their scripts rely on the output of the target and status commands.
Test(cli, targetAndStatusCommands)
{
    SchedulerThread schedulers({"east-a", "west-a"});
    CommandSession session(schedulers);
    runInBothFormats(session, {"target", "list"});
    runInBothFormats(session, {"status"});
    checkSession(session, "status");
}

// explain must show each limit with its line and revision.
Test(cli, explain)
{
    SchedulerThread schedulers;
    CommandSession session(schedulers);
    session.run({"explain", "mtkvari"});
    session.run({"contract", "apply", "EXAMPLES/mtkvari.ini"});
    runInBothFormats(session, {"explain", "mtkvari"});
    checkSession(session, "explain");
}

// The help texts must contain all commands and options.
Test(cli, help)
{
    SchedulerThread schedulers;
    CommandSession session(schedulers);
    session.run({"--help"});
    for (const Command &command : allCommands()) {
        Words words;
        boost::split(words, command.name, boost::is_any_of(" "));
        words.emplace_back("--help");
        cr_assert(session.run(words) == ExitCode::Success);
    }
    checkSession(session, "help");
}
