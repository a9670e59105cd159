#include "commandsession.h"

using namespace Hyssop;
using namespace Hyssop::Test;

using Words = std::vector<std::string>;

static const Words ApplyMtkvari{"contract", "apply", "EXAMPLES/mtkvari.ini", "--timeout", "1200 ms"};

static Words submitWords(const Words &more = {})
{
    Words words{"job", "submit", "--customer", "mtkvari", "--team", "reports", "--task", "monthly", "--cores", "2", "--memory", "4 GB", "report"};
    words.insert(words.end(), more.begin(), more.end());
    return words;
}

static Words with(Words words, const Words &more)
{
    words.insert(words.end(), more.begin(), more.end());
    return words;
}

// Guards against a command line that is accepted or has an effect although a part of it is invalid or missing.
Test(exitcodes, usage)
{
    SchedulerThread schedulers;
    CommandSession session(schedulers);
    const std::vector<Words> lines{
        {},
        {"contract"},
        {"contract", "delete", "mtkvari"},
        {"contract", "get"},
        {"contract", "get", "a", "b"},
        {"contract", "list", "--colour"},
        {"contract", "list", "--out", "json"},
        {"contract", "list", "--output", "xml"},
        {"contract", "list", "--timeout", "5"},
        {"contract", "list", "--timeout", "11 min"},
        {"contract", "list", "--address", "localhost:7000"},
        {"contract", "list", "--address", ","},
        {"contract", "apply", "DATA/missing.ini"},
        {"contract", "apply", "EXAMPLES/mtkvari.ini", "--base", "x"},
        {"contract", "apply", "EXAMPLES/mtkvari.ini", "--change-id", "c1"},
        {"audit", "--maximum", "many"},
        {"job", "submit", "report"},
        submitWords({"--job-id", "j1"}),
        submitWords({"--run-time", "20"}),
    };
    for (const Words &line : lines) {
        cr_assert(session.run(line) == ExitCode::Usage, "%s", session.transcript().c_str());
        cr_assert(!session.err().empty());
    }
    cr_assert_eq(schedulers.scheduler(0).effects(), 0);
}

// Guards against an invalid request that is reported as unavailable instead of refused.
Test(exitcodes, refused)
{
    SchedulerThread schedulers;
    CommandSession session(schedulers);
    cr_assert(session.run({"contract", "apply", "DATA/faulty.ini"}) == ExitCode::Refused);
    cr_assert(session.run({"domain", "out", "East"}) == ExitCode::Refused);
    cr_assert(session.run(ApplyMtkvari) == ExitCode::Success);
    cr_assert(session.run(submitWords({"--urgent"})) == ExitCode::Refused);
    Words tooLarge = submitWords();
    std::ranges::replace(tooLarge, std::string("4 GB"), std::string("251 GB"));
    cr_assert(session.run(tooLarge) == ExitCode::Refused);
    cr_assert(session.run({"audit", "--maximum", "1001"}) == ExitCode::Refused);
}

// Guards against a change based on an old revision that overwrites the change of another operator.
Test(exitcodes, conflict)
{
    SchedulerThread schedulers;
    CommandSession session(schedulers);
    cr_assert(session.run(with(ApplyMtkvari, {"--operator", "tamar"})) == ExitCode::Success);
    cr_assert(session.run(with(ApplyMtkvari, {"--base", "0"})) == ExitCode::Conflict);
    cr_assert(session.out().find("accepted from tamar") != std::string::npos, "%s", session.out().c_str());
    cr_assert_eq(schedulers.store().entries["contract/mtkvari"].revision, 1);
}

// Guards against confusing "certainly not done" with "may have been done" (P6), also when an earlier attempt is repeated.
Test(exitcodes, unavailableAndUnknown)
{
    SchedulerThread schedulers;
    CommandSession session(schedulers);
    schedulers.addFault(0, Fault::Unavailable);
    schedulers.addFault(1, Fault::Unavailable);
    cr_assert(session.run(with(ApplyMtkvari, {"--base", "0"})) == ExitCode::Unavailable);
    for (int attempt = 0; attempt < 3; ++attempt) {
        schedulers.addFault(0, Fault::UnknownVerdict);
        schedulers.addFault(1, Fault::UnknownVerdict);
    }
    cr_assert(session.run(with(ApplyMtkvari, {"--base", "0"})) == ExitCode::Unknown);
    cr_assert(session.out().find("repeat with --base 0 --change-id id-2\n") != std::string::npos, "%s", session.out().c_str());
    schedulers.addFault(0, Fault::Unavailable);
    schedulers.addFault(1, Fault::Unavailable);
    const Words repeat = with(ApplyMtkvari, {"--base", "0", "--change-id", "id-2"});
    cr_assert(session.run(repeat) == ExitCode::Unknown, "the earlier attempt may have been done");
    cr_assert(session.run(repeat) == ExitCode::Success);
    cr_assert_eq(schedulers.store().entries["contract/mtkvari"].revision, 1);
}

// Guards against confusing the two verdicts for jobs, and against a second job after a repeated submission.
Test(exitcodes, unavailableAndUnknownJobs)
{
    SchedulerThread schedulers;
    CommandSession session(schedulers);
    cr_assert(session.run(ApplyMtkvari) == ExitCode::Success);
    schedulers.addFault(0, Fault::Unavailable);
    schedulers.addFault(1, Fault::Unavailable);
    cr_assert(session.run(submitWords()) == ExitCode::Unavailable);
    for (int attempt = 0; attempt < 3; ++attempt) {
        schedulers.addFault(0, Fault::UnknownVerdict);
        schedulers.addFault(1, Fault::UnknownVerdict);
    }
    cr_assert(session.run(submitWords()) == ExitCode::Unknown);
    cr_assert(session.out().find("repeat with --domain east-a --job-id id-3\n") != std::string::npos, "%s", session.out().c_str());
    const Words repeat = submitWords({"--domain", "east-a", "--job-id", "id-3"});
    schedulers.addFault(0, Fault::Unavailable);
    schedulers.addFault(1, Fault::Unavailable);
    cr_assert(session.run(repeat) == ExitCode::Unknown, "the earlier attempt may have been done");
    cr_assert(session.run(repeat) == ExitCode::Success);
    cr_assert_eq(schedulers.store().jobs["east-a"].size(), 1);
}

// Guards against reads that report "not found" or success when no scheduler replies or none is ready.
Test(exitcodes, unavailableReads)
{
    SchedulerThread schedulers;
    CommandSession session(schedulers);
    cr_assert(session.run(ApplyMtkvari) == ExitCode::Success);
    schedulers.run([&] {
        schedulers.scheduler(0).setReady(false);
        schedulers.scheduler(1).setReady(false);
    });
    cr_assert(session.run({"contract", "get", "mtkvari"}) == ExitCode::Unavailable);
    cr_assert(session.run(ApplyMtkvari) == ExitCode::Unavailable);
    schedulers.run([&] {
        schedulers.scheduler(0).stop();
        schedulers.scheduler(1).stop();
    });
    for (const Words &line : {Words{"status"}, Words{"contract", "list"}, Words{"job", "list"}, Words{"target", "list"}, Words{"audit"}, ApplyMtkvari}) {
        cr_assert(session.run(line) == ExitCode::Unavailable, "%s", session.transcript().c_str());
    }
}

// Guards against an empty result that is reported as success instead of "not found".
Test(exitcodes, notFound)
{
    SchedulerThread schedulers;
    CommandSession session(schedulers);
    for (const Words &line : {Words{"contract", "get", "mtkvari"},
                              Words{"contract", "history", "mtkvari"},
                              Words{"contract", "diff", "mtkvari", "EXAMPLES/mtkvari.ini"},
                              Words{"explain", "mtkvari"},
                              Words{"job", "status", "j1"},
                              Words{"job", "cancel", "j1"},
                              submitWords()}) {
        cr_assert(session.run(line) == ExitCode::NotFound, "%s", session.transcript().c_str());
    }
}

static asio::awaitable<Wire::Message> replyWithAcknowledgement(const Wire::Message &)
{
    Wire::Message message;
    message.__set_acknowledgement({});
    co_return message;
}

// Guards against a reply of an unexpected type that is reported as success instead of an internal error.
Test(exitcodes, internalFault)
{
    SchedulerThread schedulers;
    CommandSession session(schedulers);
    asio::io_context context;
    RpcServer server(context.get_executor(), asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0), replyWithAcknowledgement);
    server.start();
    std::thread thread([&] { context.run(); });
    const std::string address = formatEndpoint(server.localEndpoint());
    const ExitCode code = session.run({"contract", "list", "--address", address});
    context.stop();
    thread.join();
    cr_assert(code == ExitCode::InternalError);
}
