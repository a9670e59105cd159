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

// Guards against changed output of the contract commands, including that of conflicts, on which operators and their scripts rely.
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

// Guards against changed output of the domain commands, on which operators and their scripts rely.
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

// Guards against changed output of the job commands, on which operators and their scripts rely.
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

// Guards against changed output of the target and status commands, on which operators and their scripts rely.
Test(cli, targetAndStatusCommands)
{
    SchedulerThread schedulers({"east-a", "west-a"});
    CommandSession session(schedulers);
    runInBothFormats(session, {"target", "list"});
    runInBothFormats(session, {"status"});
    checkSession(session, "status");
}

// Guards against a limit that explain does not show, or shows with a wrong line or revision.
Test(cli, explain)
{
    SchedulerThread schedulers;
    CommandSession session(schedulers);
    session.run({"explain", "mtkvari"});
    session.run({"contract", "apply", "EXAMPLES/mtkvari.ini"});
    runInBothFormats(session, {"explain", "mtkvari"});
    checkSession(session, "explain");
}

// Guards against commands and options that are missing from the help texts.
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
