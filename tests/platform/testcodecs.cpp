#include <jobcodec.h>
#include <recorddecoder.h>
#include <storecodec.h>
#include <workercodec.h>

#include <boost/json.hpp>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace Hyssop::Platform;

namespace json = boost::json;

namespace {

template<typename Operation>
bool fails(Operation operation, ErrorCode code = ErrorCode::Malformed)
{
    auto outcome = capture(operation);
    const Error *error = errorOf(outcome);
    return error != nullptr && error->code == code;
}

std::string offsets()
{
    return std::string(7, '\0') + std::string(1, '\x09') + std::string(8, '\0');
}

} // namespace

Test(storeCodec, recordsRoundTrip)
{
    const std::vector<KeyedRecord> records{{0, "key", "value"}, {0, "gone", std::nullopt}, {0, "zero", std::string("\0x", 2)}};
    auto page = capture([&] { return decodeRecords(offsets() + encodeRecords(records), 4); });
    const RecordPage *decoded = valueOf(page);
    cr_assert_not_null(decoded);
    cr_assert_eq(decoded->end, 9);
    cr_assert_eq(decoded->records.size(), 3);
    cr_assert_eq(decoded->records[0].offset, 4);
    cr_assert_eq(decoded->records[0].key, "key");
    cr_assert_eq(*decoded->records[0].value, "value");
    cr_assert_not(decoded->records[1].value.has_value());
    cr_assert_eq(decoded->records[2].offset, 6);
    cr_assert_eq(decoded->records[2].value->size(), 2);
}

Test(storeCodec, truncatedResponsesAreRejected)
{
    const std::string whole = offsets() + encodeRecords({{0, "key", "value"}});
    for (std::size_t size = 0; size < whole.size(); ++size) {
        if (size == offsets().size()) {
            continue; // a page without records
        }
        cr_assert(fails([&] { return decodeRecords(std::string_view(whole).substr(0, size), 0); }), "%zu bytes", size);
    }
}

Test(storeCodec, aRecordThatIsTooShortForItsKeyHasNoKey)
{
    const std::string record("\0\0\0\x02\x09x", 6);
    auto page = capture([&] { return decodeRecords(offsets() + record, 0); });
    cr_assert(valueOf(page)->records[0].key.empty());
}

Test(storeCodec, newestRecordsAreDecodedFromBase64)
{
    auto page =
        capture([] { return decodeNewest(R"({"items":[{"key":"a","value":"eHk=","offset":7},{"key":"b","value":"","offset":8}],"more":true,"end":9})"); });
    const NewestRecordsPage *decoded = valueOf(page);
    cr_assert_not_null(decoded);
    cr_assert_eq(*decoded->records[0].value, "xy");
    cr_assert_not(decoded->records[1].value.has_value());
    cr_assert(decoded->more);
    cr_assert(fails([] { return decodeNewest(R"({"items":[{"key":"a","value":"$$$$","offset":7}]})"); }));
    cr_assert(fails([] { return decodeNewest("[]"); }));
}

Test(storeCodec, queriesAreEscaped)
{
    cr_assert_eq(escapeQuery("s/a b"), "s%2Fa%20b");
}

Test(workerCodec, commandsUseTheFieldNamesOfThePlatform)
{
    StartCommand command;
    command.task = {"ab", 1, 2, 3};
    command.run = 4;
    command.payload = "p";
    command.checkpoint = "c";
    command.fencingToken = 7;
    command.leaseEnd = WorkerTime(9000);
    const json::value body = json::parse(encodeStart(command));
    cr_assert_eq(body.at("task").as_string(), "ab.1.2.3");
    cr_assert_eq(body.at("run").to_number<int>(), 4);
    cr_assert_eq(body.at("saved").as_string(), "c");
    cr_assert_eq(body.at("deadlineMs").to_number<int>(), 9000);
    cr_assert_eq(body.at("fencingToken").to_number<int>(), 7);
    cr_assert_not(body.as_object().contains("ticket"));
    PollCommand poll;
    cr_assert_not(json::parse(encodePoll(poll)).as_object().contains("deadlineMs"));
}

// Guards against requests that a worker can't parse, or reads as another text, because of characters in a payload or checkpoint.
Test(workerCodec, textsOfCommandsAreEscaped)
{
    for (const std::string &text : {std::string("a\"b\\c\n\t\x01/d"), std::string("\xc3\xa4\x7f"), std::string(1, '\0'), std::string()}) {
        StartCommand command;
        command.payload = text;
        command.checkpoint = text;
        command.ticket = text;
        const json::value body = json::parse(encodeStart(command));
        cr_assert_eq(std::string(body.at("spec").as_string()), text);
        cr_assert_eq(text.empty(), !body.as_object().contains("saved"));
        cr_assert(text.empty() || std::string(body.at("saved").as_string()) == text);
        cr_assert(text.empty() || std::string(body.at("ticket").as_string()) == text);
    }
}

// Guards against other names, numbers or an other order of the fields of requests.
Test(workerCodec, requestsHaveTheirUsualText)
{
    const TaskId task{"ab", 1, 2, 3};
    cr_assert_eq(encodeStop({{}, task, 4, 7, StopReason::JobEnded}), R"({"task":"ab.1.2.3","run":4,"fencingToken":7})");
    ThrottleCommand throttle;
    throttle.task = task;
    throttle.run = 4;
    throttle.speedPercent = 60;
    throttle.fencingToken = -7;
    cr_assert_eq(encodeThrottle(throttle), R"({"task":"ab.1.2.3","run":4,"percent":60,"fencingToken":-7})");
    PollCommand poll;
    poll.fencingToken = 9223372036854775807;
    poll.acknowledgedSequence = 57;
    cr_assert_eq(encodePoll(poll), R"({"fencingToken":9223372036854775807,"lastSeen":57})");
    poll.leaseEnd = WorkerTime(-5);
    poll.wait = std::chrono::milliseconds(600);
    cr_assert_eq(encodePoll(poll), R"({"fencingToken":9223372036854775807,"lastSeen":57,"deadlineMs":-5,"waitMs":600})");
}

Test(workerCodec, aReportIsDecodedWithoutItsMalformedRows)
{
    std::size_t malformed = 0;
    auto report = capture([&] {
        return decodeReport(R"({"clockMs":5,"born":1700000000000,"running":[["ab.0.1.2",3,"s",40,1500],["ab.0.1",3,"s",40],7],
                                 "finished":[[9,"ab.0.1.3",1,"done",""],[10,"ab.0.1.4",1,"vanished",""]]})",
                            malformed);
    });
    const WorkerReport *decoded = valueOf(report);
    cr_assert_not_null(decoded);
    cr_assert_eq(decoded->runs.size(), 1);
    cr_assert_eq(decoded->runs[0].task, (TaskId{"ab", 0, 1, 2}));
    cr_assert_eq(decoded->runs[0].load, 1500);
    cr_assert_eq(decoded->ends.size(), 1);
    cr_assert_eq(decoded->ends[0].endReason, RunEndReason::Completed);
    cr_assert_eq(malformed, 3);
    cr_assert_eq(decoded->malformedRuns, 2);
}

Test(workerCodec, aRunWithAnOddCheckpointIsListed)
{
    std::size_t malformed = 0;
    auto report = capture([&] { return decodeReport(R"({"clockMs":5,"born":1700000000000,"running":[["ab.0.1.2",3,7,40,1500]],"finished":[]})", malformed); });
    const WorkerReport *decoded = valueOf(report);
    cr_assert_not_null(decoded);
    cr_assert_eq(decoded->runs.size(), 1);
    cr_assert(decoded->runs[0].checkpoint.empty());
    cr_assert_eq(decoded->malformedRuns, 0);
}

Test(workerCodec, rejectionsAreDistinguished)
{
    cr_assert_eq(decodeRejection(409, R"({"reason":"fence"})").reason, RejectionReason::Fenced);
    cr_assert_eq(decodeRejection(409, R"({"reason":"old"})").reason, RejectionReason::Superseded);
    cr_assert_eq(decodeRejection(409, R"({"reason":"late"})").reason, RejectionReason::Expired);
    cr_assert_eq(decodeRejection(409, R"({"reason":"room"})").reason, RejectionReason::InsufficientCapacity);
    cr_assert_eq(decodeRejection(409, R"({"reason":"ticket"})").reason, RejectionReason::MissingTicket);
    cr_assert_eq(decodeRejection(409, "x").reason, RejectionReason::Invalid);
    cr_assert_eq(decodeRejection(421, "").reason, RejectionReason::WrongWorker);
    cr_assert_eq(decodeRejection(503, "").reason, RejectionReason::Unhealthy);
    cr_assert_eq(decodeRejection(400, "").reason, RejectionReason::Invalid);
}

Test(recordDecoder, aConfigurationIsDecoded)
{
    const RecordDecoder decoder;
    auto outcome = capture([&] {
        return decoder.configuration(R"({"version":7,"routes":[{"name":"q","host":"h","pathPrefix":"/p/","service":"s","priority":2,"maxAttempts":3,
            "stretch":1.5,"sloMs":500,"timeoutMs":3000,"advice":{"decideMs":5,"eachMs":1,"validMs":3000}}],
            "services":[{"name":"s","enforcesCapacity":true,"spare":true}],"limits":{"maxBodyBytes":1000},"somethingNew":[1]})");
    });
    const ClusterConfig *config = valueOf(outcome);
    cr_assert_not_null(config);
    const QueueInfo &queue = config->queues.at("q");
    cr_assert_eq(config->version, 7);
    cr_assert_eq(queue.maximumFailures, 3);
    cr_assert_float_eq(queue.deadlineFactor, 1.5, 1e-9);
    cr_assert_eq(queue.deadlineMargin.count(), 500);
    cr_assert_eq(queue.advice->validity.count(), 3000);
    cr_assert(config->workerPools.at("s").spare);
    cr_assert_eq(config->limits.bodyBytes, 1000);
}

Test(recordDecoder, malformedRegistrationsAreRejected)
{
    const RecordDecoder decoder;
    const std::string valid =
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"draining","remainingMs":800,"capacity":{"cpu":4000,"memMb":10},"labels":["a","r1-3"]})";
    auto worker = capture([&] { return decoder.worker("i", valid); });
    cr_assert_eq(valueOf(worker)->rack, "r1-3");
    cr_assert(valueOf(worker)->draining);
    cr_assert_eq(valueOf(worker)->drainRemaining->count(), 800);
    for (const char *malformedRegistration : {"",
                                              "\xff",
                                              "[]",
                                              "{}",
                                              R"({"service":5})",
                                              R"({"service":"s","address":"a","state":"unheard","capacity":{"cpu":1}})",
                                              R"({"service":"s","address":"a","state":"ready","capacity":7})",
                                              R"({"service":"s","address":"a","state":"ready","labels":[3],"capacity":{"cpu":1}})"}) {
        cr_assert(fails([&] { return decoder.worker("i", malformedRegistration); }), "%s", malformedRegistration);
    }
}

Test(recordDecoder, operatorKeysAreDecoded)
{
    const RecordDecoder decoder;
    cr_assert_eq(decoder.operatorKey("config").kind, OperatorKey::Kind::Configuration);
    cr_assert_eq(decoder.operatorKey("evacuate/puget-a").name, "puget-a");
    cr_assert_eq(decoder.operatorKey("wave/3").name, "3");
    cr_assert_eq(decoder.operatorKey("other").kind, OperatorKey::Kind::Other);
}

Test(jobCodec, aSubmissionIsDecoded)
{
    auto outcome = capture([] {
        return decodeJob(R"({"spec":"s","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,"affinity":"r1-3"},
            {"count":2,"after":[0],"checkpointable":true,"gang":true,"sameRack":true,"requires":"l","antiAffinity":2,"speculative":true,
             "longRunning":true,"image":"i","targetMs":18,"fills":true,"mayMiss":1}],"repeatCount":3,"startAtMs":5,"intervalMs":6})",
                         1000);
    });
    const Wire::StepJob *job = valueOf(outcome);
    cr_assert_not_null(job);
    cr_assert_eq(job->steps[0].dataRack, "r1-3");
    const Wire::TaskStep &step = job->steps[1];
    cr_assert(step.checkpointable && step.gang && step.sameRack && step.speculative && step.longRunning && step.fillsIdle);
    cr_assert_eq(step.label, "l");
    cr_assert_eq(step.perWorker, 2);
    cr_assert_eq(step.tailTargetMs, 18);
    cr_assert_eq(step.mayMiss, 1);
    cr_assert_eq(job->repeatCount, 3);
}

Test(jobCodec, invalidSubmissionsAreRejected)
{
    cr_assert(fails([] { return decodeJob("{", 1000); }));
    cr_assert(fails([] { return decodeJob(R"({"spec":"s","steps":[]})", 1000); }, ErrorCode::InvalidArgument));
    cr_assert(fails([] { return decodeJob(R"({"steps":[{"count":0}]})", 1000); }, ErrorCode::InvalidArgument));
    cr_assert(fails([] { return decodeJob(R"({"steps":[{"count":1,"after":[0]}]})", 1000); }, ErrorCode::InvalidArgument));
    cr_assert(fails([] { return decodeJob(R"({"steps":[{"count":"1"}]})", 1000); }));
    cr_assert(fails([] { return decodeJob(R"({"steps":[{"count":2000,"longRunning":true},{"count":1001,"longRunning":true}]})", 1000); },
                    ErrorCode::InvalidArgument));
    cr_assert_not(fails([] { return decodeJob(R"({"steps":[{"count":3000,"longRunning":true},{"count":3000}]})", 1000); }));
    cr_assert(fails([] { return decodeJob(R"({"spec":"0123456789"})", 10); }, ErrorCode::TooLarge));
}
