#include "fakescheduler.h"

#include <golden/goldenfile.h>

#include <wire/codec.h>

#include <functional>
#include <random>

using namespace Hyssop;
using namespace Hyssop::Test;

static std::string exampleContract()
{
    return readTestFile("../examples/contracts/mtkvari.ini");
}

static Wire::ConfigChange validChange()
{
    Wire::ConfigChange change;
    change.changeId = "change-1";
    change.key = "contract/mtkvari";
    change.body = exampleContract();
    change.operatorName = "nino";
    return change;
}

static Wire::JobSpec validJob()
{
    Wire::JobSpec spec;
    spec.jobId = "job-1";
    spec.customer = "mtkvari";
    spec.team = "reports";
    spec.taskName = "monthly-report";
    spec.declared.milliCores = 1000;
    spec.declared.memoryBytes = 1'000'000'000;
    spec.command = "report --month 11";
    return spec;
}

/// A handler that calls the functions of a fake scheduler. send() returns its reply to one message.
struct HandlerFixture
{
    asio::io_context context;
    FakeStore store;
    FakeScheduler scheduler{context, store};
    OperatorHandler handler{scheduler.functions()};

    Wire::Message send(const Wire::Message &request)
    {
        Wire::Message reply;
        bool answered = false;
        asio::co_spawn(context, handler.handle(request), [&](const std::exception_ptr &failure, Wire::Message message) {
            answered = failure == nullptr;
            reply = std::move(message);
            context.stop();
        });
        context.restart();
        context.run_for(std::chrono::seconds(10));
        cr_assert(answered);
        return reply;
    }

    Wire::ConfigApplyReply apply(const Wire::ConfigChange &change)
    {
        Wire::ConfigApplyRequest request;
        request.change = change;
        Wire::Message message;
        message.__set_configApplyRequest(request);
        return send(message).configApplyReply;
    }

    Wire::Message submit(const Wire::JobSpec &spec)
    {
        Wire::JobSubmitRequest request;
        request.spec = spec;
        Wire::Message message;
        message.__set_jobSubmitRequest(request);
        return send(message);
    }
};

// Guards against an invalid contract that is written to the log, and against a message with only the first of its errors.
Test(operatorhandler, refusesAnInvalidContractAsAWhole)
{
    HandlerFixture fixture;
    Wire::ConfigChange change = validChange();
    change.body = "[contract]\ncustomer = mtkvari\nfavor = speed\ncolour = red\n";
    const auto reply = fixture.apply(change);
    cr_assert(reply.verdict == Wire::ChangeVerdict::Refused);
    cr_assert(reply.message.find("\n3: favor: ") != std::string::npos, "%s", reply.message.c_str());
    cr_assert(reply.message.find("\n4: colour: ") != std::string::npos, "%s", reply.message.c_str());
    cr_assert_eq(fixture.scheduler.effects(), 0);
}

// Guards against a change whose names, sizes or body are not validated.
Test(operatorhandler, refusesInvalidChanges)
{
    const std::vector<std::function<void(Wire::ConfigChange &)>> faults{
        [](auto &c) { c.changeId.clear(); },
        [](auto &c) { c.changeId = std::string(65, 'x'); },
        [](auto &c) { c.changeId = "a b"; },
        [](auto &c) { c.key = "contract/cascadia"; },
        [](auto &c) { c.key = "contract/Mtkvari"; },
        [](auto &c) { c.key = "quota/mtkvari"; },
        [](auto &c) { c.key = "domain/east-a"; },
        [](auto &c) { c.baseRevision = -1; },
        [](auto &c) { c.operatorName.clear(); },
        [](auto &c) { c.operatorName = "a\nb"; },
        [](auto &c) { c.operatorName = std::string(65, 'x'); },
        [](auto &c) { c.body = std::string(70'000, '#'); },
        [](auto &c) { c.removed = true; },
    };
    HandlerFixture fixture;
    for (std::size_t index = 0; index < faults.size(); ++index) {
        Wire::ConfigChange change = validChange();
        faults[index](change);
        const auto reply = fixture.apply(change);
        cr_assert(reply.verdict == Wire::ChangeVerdict::Refused && !reply.message.empty(), "fault %zu", index);
    }
    cr_assert_eq(fixture.scheduler.effects(), 0);
    cr_assert(fixture.apply(validChange()).verdict == Wire::ChangeVerdict::Accepted);
}

// Guards against a failure domain with a state other than "in" and "out".
Test(operatorhandler, checksTheStateOfADomain)
{
    HandlerFixture fixture;
    Wire::ConfigChange change = validChange();
    change.key = "domain/east-a";
    change.body = "outside";
    cr_assert(fixture.apply(change).verdict == Wire::ChangeVerdict::Refused);
    change.body = "out";
    cr_assert(fixture.apply(change).verdict == Wire::ChangeVerdict::Accepted);
}

// Guards against a job whose names or sizes are not validated.
Test(operatorhandler, refusesInvalidJobs)
{
    const std::vector<std::function<void(Wire::JobSpec &)>> faults{
        [](auto &s) { s.jobId.clear(); },
        [](auto &s) { s.jobId = "a/b"; },
        [](auto &s) { s.customer = "Mtkvari"; },
        [](auto &s) { s.team.clear(); },
        [](auto &s) { s.taskName = std::string(41, 'x'); },
        [](auto &s) { s.kind = Wire::TaskKind::Service; },
        [](auto &s) { s.serviceName = "dispatch"; },
        [](auto &s) { s.declared.milliCores = 0; },
        [](auto &s) { s.declared.memoryBytes = 999'999; },
        [](auto &s) { s.declared.accelerators = 65; },
        [](auto &s) { s.declared.slots = 0; },
        [](auto &s) { s.declaredRunTimeMs = -1; },
        [](auto &s) { s.maximumFailures = 0; },
        [](auto &s) { s.command.clear(); },
        [](auto &s) { s.command = std::string(1025, 'x'); },
    };
    HandlerFixture fixture;
    fixture.apply(validChange());
    const int effectsBefore = fixture.scheduler.effects();
    for (std::size_t index = 0; index < faults.size(); ++index) {
        Wire::JobSpec spec = validJob();
        faults[index](spec);
        const auto reply = fixture.submit(spec);
        cr_assert(reply.__isset.error && reply.error.code == "invalid-argument", "fault %zu", index);
    }
    cr_assert_eq(fixture.scheduler.effects(), effectsBefore);
    cr_assert(fixture.submit(validJob()).jobSubmitReply.verdict == Wire::SubmitVerdict::Queued);
}

// Guards against a job that its team's contract does not allow.
Test(operatorhandler, refusesJobsThatTheContractForbids)
{
    HandlerFixture fixture;
    cr_assert_eq(fixture.submit(validJob()).error.code, "not-found");
    fixture.apply(validChange());
    Wire::JobSpec spec = validJob();
    spec.team = "nobody";
    cr_assert_eq(fixture.submit(spec).error.code, "not-found");
    spec = validJob();
    spec.urgent = true;
    cr_assert_eq(fixture.submit(spec).error.code, "refused");
    spec = validJob();
    spec.declared.milliCores = 65'000;
    cr_assert_eq(fixture.submit(spec).error.code, "refused");
    cr_assert(fixture.store.jobs["east-a"].empty());
}

// Guards against a refusal of a job that was recorded before its contract changed (P6).
Test(operatorhandler, acceptsARetryForARecordedJob)
{
    HandlerFixture fixture;
    fixture.apply(validChange());
    cr_assert(fixture.submit(validJob()).jobSubmitReply.verdict == Wire::SubmitVerdict::Queued);
    fixture.store.entries.clear();
    cr_assert(fixture.submit(validJob()).jobSubmitReply.verdict == Wire::SubmitVerdict::Queued);
    cr_assert_eq(fixture.store.jobs["east-a"].size(), 1);
}

// Guards against a "not found" error of a scheduler that has not read its state yet.
Test(operatorhandler, isUnavailableUntilItIsReady)
{
    HandlerFixture fixture;
    fixture.scheduler.setReady(false);
    cr_assert_eq(fixture.submit(validJob()).error.code, "unavailable");
    Wire::JobCancelRequest cancelRequest;
    cancelRequest.jobId = "job-1";
    cancelRequest.operatorName = "nino";
    Wire::Message cancel;
    cancel.__set_jobCancelRequest(cancelRequest);
    cr_assert_eq(fixture.send(cancel).error.code, "unavailable");
    Wire::Message jobs;
    jobs.__set_jobQuery({});
    cr_assert_eq(fixture.send(jobs).error.code, "unavailable");
    Wire::Message audit;
    audit.__set_auditRequest({});
    cr_assert_eq(fixture.send(audit).error.code, "unavailable");
    cr_assert_eq(fixture.scheduler.effects(), 0);
}

// Guards against replies that the client rejects because they exceed the maximum size of a frame.
Test(operatorhandler, keepsRepliesWithinAFrame)
{
    HandlerFixture fixture;
    Wire::AuditEntry entry;
    entry.key = "contract/mtkvari";
    entry.body = std::string(60'000, 'x');
    fixture.store.audit.assign(30, entry);
    Wire::Message request;
    request.__set_auditRequest({});
    const auto audit = fixture.send(request);
    cr_assert_eq(audit.auditReply.entries.size(), 30);
    cr_assert(audit.auditReply.entries[0].body.empty());
    for (int number = 0; number < 30; ++number) {
        Wire::ConfigEntry &state = fixture.store.entries["contract/c" + std::to_string(number)];
        state.body = std::string(60'000, 'x');
    }
    Wire::Message stateRequest;
    stateRequest.__set_configStateRequest({});
    cr_assert_eq(fixture.send(stateRequest).error.code, "too-large");
}

// Guards against queries whose arguments are not validated, and against messages of other types that get no reply.
Test(operatorhandler, refusesInvalidQueriesAndOtherMessages)
{
    HandlerFixture fixture;
    Wire::JobQuery query;
    query.maximum = 1001;
    Wire::Message jobs;
    jobs.__set_jobQuery(query);
    cr_assert_eq(fixture.send(jobs).error.code, "invalid-argument");
    Wire::AuditRequest auditRequest;
    auditRequest.maximum = 0;
    Wire::Message audit;
    audit.__set_auditRequest(auditRequest);
    cr_assert_eq(fixture.send(audit).error.code, "invalid-argument");
    Wire::ConfigStateRequest stateRequest;
    stateRequest.key = "contract/A";
    Wire::Message state;
    state.__set_configStateRequest(stateRequest);
    cr_assert_eq(fixture.send(state).error.code, "invalid-argument");
    Wire::Message heartbeat;
    heartbeat.__set_heartbeat({});
    cr_assert(!OperatorHandler::handles(heartbeat) && OperatorHandler::handles(state));
    cr_assert_eq(fixture.send(heartbeat).error.code, "invalid-argument");
}

/// Valid requests of every kind, as the bytes of a frame.
static std::vector<std::string> encodedRequests()
{
    std::vector<Wire::Message> messages(6);
    Wire::ConfigApplyRequest apply;
    apply.change = validChange();
    messages[0].__set_configApplyRequest(apply);
    Wire::JobSubmitRequest submit;
    submit.spec = validJob();
    messages[1].__set_jobSubmitRequest(submit);
    Wire::JobCancelRequest cancel;
    cancel.jobId = "job-1";
    cancel.operatorName = "nino";
    messages[2].__set_jobCancelRequest(cancel);
    messages[3].__set_jobQuery({});
    messages[4].__set_auditRequest({});
    messages[5].__set_configStateRequest({});
    std::vector<std::string> encoded;
    for (const Wire::Message &message : messages) {
        Wire::Envelope envelope;
        envelope.message = message;
        encoded.push_back(encode(envelope));
    }
    return encoded;
}

// Guards against a corrupt request that crashes the scheduler or leads to an invalid state.
Test(operatorhandler, survivesFuzzedRequests)
{
    constexpr std::uint64_t Seed = 20261204;
    constexpr int Rounds = 5'000;
    std::mt19937_64 random(Seed);
    HandlerFixture fixture;
    fixture.apply(validChange());
    const auto requests = encodedRequests();
    int handled = 0;
    for (int round = 0; round < Rounds; ++round) {
        std::string bytes = requests[static_cast<std::size_t>(round) % requests.size()];
        for (std::uint64_t change = random() % 4 + 1; change > 0; --change) {
            bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
        }
        auto envelope = capture([&] { return decodeEnvelope(bytes); });
        if (valueOf(envelope) != nullptr) {
            fixture.send(valueOf(envelope)->message);
            ++handled;
        }
    }
    cr_assert(handled > 1000, "seed %llu: %d requests handled", static_cast<unsigned long long>(Seed), handled);
    for (const auto &entry : fixture.store.entries) {
        const bool isContract = entry.first.starts_with("contract/");
        const bool valid =
            isContract ? std::holds_alternative<Contract>(parseContract(entry.second.body)) : entry.second.body == "in" || entry.second.body == "out";
        cr_assert(valid || entry.second.removed, "%s", entry.first.c_str());
    }
    for (const Wire::JobStatus &job : fixture.store.jobs["east-a"]) {
        cr_assert(!job.spec.command.empty() && job.spec.declared.milliCores > 0 && job.spec.customer == "mtkvari");
    }
}
