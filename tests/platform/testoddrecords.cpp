#include <jobcodec.h>
#include <recorddecoder.h>
#include <storecodec.h>
#include <workercodec.h>

#include <node/clusterview.h>
#include <observability/metricsregistry.h>
#include <ports/keyedrecord.h>

#include <criterion/criterion.h>

#include <array>
#include <optional>
#include <string>

using namespace Hyssop;
using namespace Hyssop::Platform;

namespace {

constexpr std::size_t DeepNesting = 100'000; // levels
constexpr std::size_t LongText = 1024 * 1024; // bytes

// Values that no writer of the platform uses for an amount or a time.
constexpr std::array OddIntegers{"-9223372036854775808",
                                 "9223372036854775807",
                                 "9223372036854775808",
                                 "18446744073709551615",
                                 "1e18",
                                 "1e308",
                                 "1e999",
                                 "-1e999",
                                 "99999999999999999999999999",
                                 "true",
                                 "\"7\"",
                                 "[]",
                                 "{}"};

template<typename Operation>
bool fails(Operation operation)
{
    auto outcome = capture(operation);
    return errorOf(outcome) != nullptr;
}

std::string repeated(std::string_view text, std::size_t count)
{
    std::string result;
    for (std::size_t index = 0; index < count; ++index) {
        result += text;
    }
    return result;
}

/// Returns the entry of a worker in which the value of @p field is @p value.
std::string workerWith(const std::string &field, const std::string &value)
{
    const auto valueOfField = [&](const std::string &name, const std::string &usual) { return "\"" + name + "\":" + (name == field ? value : usual); };
    return "{" + valueOfField("service", "\"s\"") + "," + valueOfField("address", "\"127.0.0.1:7000\"") + "," + valueOfField("zone", "\"z\"") + ","
        + valueOfField("state", "\"draining\"") + "," + valueOfField("coldLeftMs", "0") + "," + valueOfField("remainingMs", "5") + ","
        + valueOfField("labels", "[\"r1-2\"]") + ",\"capacity\":{" + valueOfField("cpu", "4000") + "," + valueOfField("memMb", "1000") + ","
        + valueOfField("gpu", "0") + "}}";
}

bool isUsableWorker(const std::string &entry, const std::string &id = "w")
{
    return !fails([&] { return RecordDecoder().worker(id, entry); });
}

} // namespace

Test(oddRecords, anUsualEntryNamesAWorker)
{
    cr_assert(isUsableWorker(workerWith("", "")));
    for (const char *address : {"\"127.0.0.1:1\"", "\"127.0.0.1:65535\"", "\"[::1]:80\""}) {
        cr_assert(isUsableWorker(workerWith("address", address)), "%s", address);
    }
}

Test(oddRecords, aDeeplyNestedEntryIsAnError)
{
    for (const std::string &entry : {repeated("[", DeepNesting),
                                     repeated("{\"a\":", DeepNesting),
                                     workerWith("labels", repeated("[", DeepNesting)),
                                     workerWith("labels", repeated("[", DeepNesting) + repeated("]", DeepNesting)),
                                     workerWith("service", repeated("{\"a\":", DeepNesting) + "1" + repeated("}", DeepNesting))}) {
        cr_assert_not(isUsableWorker(entry));
    }
}

Test(oddRecords, anEntryWithAnOddAmountNamesNoWorker)
{
    for (const char *field : {"cpu", "memMb", "gpu", "coldLeftMs", "remainingMs"}) {
        for (const char *value : OddIntegers) {
            cr_expect_not(isUsableWorker(workerWith(field, value)), "%s: %s", field, value);
        }
    }
}

Test(oddRecords, anEntryWithANegativeAmountNamesNoWorker)
{
    for (const char *field : {"cpu", "memMb", "gpu"}) {
        cr_expect_not(isUsableWorker(workerWith(field, "-1")), "%s", field);
    }
    cr_expect(isUsableWorker(workerWith("remainingMs", "-1")), "the minimum time is over");
}

Test(oddRecords, anEntryWithAnUnusableAddressNamesNoWorker)
{
    for (const char *address : {"\"127.0.0.1:0\"",
                                "\"127.0.0.1:65536\"",
                                "\"127.0.0.1:99999999999\"",
                                "\"127.0.0.1:99999999999999999999\"",
                                "\"127.0.0.1:-1\"",
                                "\"127.0.0.1:\"",
                                "\"127.0.0.1\"",
                                "\"::1\"",
                                "\"::1:80\"",
                                "\"a host:80\"",
                                "\"0.0.0.0:80\"",
                                "\"[::]:80\"",
                                "\":80\"",
                                "\"127.0.0.1:80\\r\\n\"",
                                "\"127.0.0.1:80 \"",
                                "\"127.0.0.1\\u0000\\r\\nA: b:80\"",
                                "80",
                                "null",
                                "\"\""}) {
        cr_expect_not(isUsableWorker(workerWith("address", address)), "%s", address);
    }
    cr_expect_not(isUsableWorker(workerWith("address", "\"" + std::string(LongText, '1') + ":80\"")));
}

Test(oddRecords, anEntryWithoutFailureDomainNamesNoWorker)
{
    cr_expect_not(isUsableWorker(workerWith("zone", "null")));
    cr_expect_not(isUsableWorker(workerWith("zone", "\"\"")));
}

Test(oddRecords, anEntryUnderAnIdThatIsNoHeaderValueNamesNoWorker)
{
    for (const std::string &id : {std::string(), std::string("a\r\nB: c"), std::string("a\0b", 3), std::string("\xff\xfe"), std::string(LongText, 'a')}) {
        cr_expect_not(isUsableWorker(workerWith("", ""), id));
    }
}

Test(oddRecords, bytesThatAreNoEntryNameNoWorker)
{
    for (const std::string &entry : {std::string(),
                                     std::string("\xff\xfe"),
                                     std::string("\0\0", 2),
                                     std::string(LongText, 'a'),
                                     std::string("[]"),
                                     std::string("null"),
                                     std::string("1e999"),
                                     workerWith("service", "\"\xff\""),
                                     workerWith("", "") + "}"}) {
        cr_expect_not(isUsableWorker(entry));
    }
}

namespace {

std::string reportWith(const std::string &clock, const std::string &running, const std::string &finished = {})
{
    return "{\"clockMs\":" + clock + ",\"born\":1700000000000,\"running\":[" + running + "],\"finished\":[" + finished + "]}";
}

std::optional<WorkerReport> decodedReport(const std::string &body, std::size_t *malformedRows = nullptr)
{
    std::size_t malformed = 0;
    auto report = capture([&] { return decodeReport(body, malformed); });
    if (malformedRows != nullptr) {
        *malformedRows = malformed;
    }
    const WorkerReport *decoded = valueOf(report);
    return decoded != nullptr ? std::optional<WorkerReport>(*decoded) : std::nullopt;
}

} // namespace

Test(oddRecords, aReportWithAnOddClockIsAnError)
{
    cr_assert(decodedReport(reportWith("482113", "")).has_value());
    for (const char *clock : OddIntegers) {
        cr_expect_not(decodedReport(reportWith(clock, "")).has_value(), "%s", clock);
    }
    cr_expect_not(decodedReport(reportWith("-1", "")).has_value());
    for (const std::string &body : {repeated("[", DeepNesting), repeated("{\"a\":", DeepNesting), reportWith("1", repeated("[", DeepNesting))}) {
        cr_expect_not(decodedReport(body).has_value());
    }
}

Test(oddRecords, aRowWithAnOddRunNumberDoesNotNameAnotherRun)
{
    for (const char *run : {"4294967298", "-4294967294", "-1", "0", "18446744073709551615", "1e308"}) {
        std::size_t malformedRows = 0;
        const std::string rows = "[\"ab.0.1.2\"," + std::string(run) + ",\"\",40,5],[\"ab.0.1.3\",2,\"\",40,5]";
        const std::string ends = "[7,\"ab.0.1.2\"," + std::string(run) + ",\"done\",\"\"],[8,\"ab.0.1.3\",1,\"done\",\"\"]";
        const auto report = decodedReport(reportWith("5", rows, ends), &malformedRows);
        cr_expect(report && report->runs.size() == 1 && report->runs[0].run == 2, "%s", run);
        cr_expect(report && report->ends.size() == 1 && report->ends[0].run == 1, "%s", run);
        cr_expect_eq(malformedRows, 2);
    }
}

Test(oddRecords, anEndWithAnOddNumberDoesNotHideLaterEnds)
{
    for (const char *number : OddIntegers) {
        const auto report = decodedReport(reportWith("5", "", "[" + std::string(number) + ",\"ab.0.1.2\",1,\"done\",\"\"],[8,\"ab.0.1.3\",1,\"done\",\"\"]"));
        cr_expect(report && report->ends.size() == 1 && report->ends[0].sequence == 8, "%s", number);
    }
}

Test(oddRecords, aRunWithOddMeasurementsIsStillReported)
{
    for (const char *value : {"-1", "101", "2147483648", "-2147483648", "9223372036854775807", "18446744073709551615"}) {
        const auto odd = decodedReport(reportWith("5", "[\"ab.0.1.2\",1,\"\"," + std::string(value) + "," + value + "]"));
        cr_assert(odd && odd->runs.size() == 1, "%s", value);
        cr_expect(odd->runs[0].progressPercent >= 0 && odd->runs[0].progressPercent <= 100, "%s", value);
        cr_expect(odd->runs[0].load >= 0 && odd->runs[0].load < 1e12, "%s", value);
    }
}

Test(oddRecords, theClockOfACommandResponseIsBounded)
{
    for (const char *clock : OddIntegers) {
        cr_expect_eq(decodeClock("{\"clockMs\":" + std::string(clock) + "}").count(), 0, "%s", clock);
    }
}

Test(oddRecords, aReportWithoutClockIsAnError)
{
    cr_assert_not(decodedReport(R"({"born":1700000000000,"running":[],"finished":[]})").has_value());
    cr_assert_not(decodedReport(R"({"clockMs":null,"running":[],"finished":[]})").has_value());
}

namespace {

std::string stepWith(const std::string &fields)
{
    return "{\"count\":1" + (fields.empty() ? std::string() : "," + fields) + "}";
}

bool isAcceptedJob(const std::string &steps, const std::string &fields = {})
{
    const std::string body = R"({"spec":"s","steps":[)" + steps + "]" + (fields.empty() ? std::string() : "," + fields) + "}";
    return !fails([&] { return decodeJob(body, 4 * LongText); });
}

} // namespace

Test(oddRecords, aSubmissionWithAnOddAmountIsRefused)
{
    cr_assert(isAcceptedJob(stepWith(R"("cpu":500,"memMb":256,"gpu":1,"estimateMs":900,"antiAffinity":2,"targetMs":18,"mayMiss":1)")));
    for (const char *field : {"cpu", "memMb", "gpu", "estimateMs", "antiAffinity", "targetMs", "mayMiss"}) {
        cr_expect_not(isAcceptedJob(stepWith("\"" + std::string(field) + "\":-1")), "%s: -1", field);
        for (const char *value : OddIntegers) {
            cr_expect_not(isAcceptedJob(stepWith("\"" + std::string(field) + "\":" + value)), "%s: %s", field, value);
        }
    }
    for (const char *field : {"repeatCount", "startAtMs", "intervalMs"}) {
        cr_expect_not(isAcceptedJob(stepWith(""), "\"" + std::string(field) + "\":-1"), "%s: -1", field);
        for (const char *value : OddIntegers) {
            cr_expect_not(isAcceptedJob(stepWith(""), "\"" + std::string(field) + "\":" + value), "%s: %s", field, value);
        }
    }
}

Test(oddRecords, aSubmissionThatOverflowsAsAWholeIsRefused)
{
    cr_assert(isAcceptedJob(stepWith(""), R"("repeatCount":1000,"startAtMs":1796428800000,"intervalMs":60000)"));
    cr_expect_not(isAcceptedJob(stepWith(""), R"("repeatCount":1000000,"startAtMs":1796428800000,"intervalMs":8000000000)"));
    cr_expect_not(isAcceptedJob(R"({"count":60000},{"count":60000})"), "two steps with more tasks than one may have");
    std::string chain = stepWith("\"estimateMs\":8000000000");
    for (int step = 1; step < 400; ++step) {
        chain += "," + stepWith("\"estimateMs\":8000000000,\"after\":[" + std::to_string(step - 1) + "]");
    }
    cr_expect_not(isAcceptedJob(chain));
    cr_expect_not(isAcceptedJob(stepWith("\"after\":[0]")));
    cr_expect_not(isAcceptedJob(stepWith("\"after\":[18446744073709551615]")));
    cr_expect_not(isAcceptedJob(repeated("[", DeepNesting)));
}

namespace {

std::optional<ClusterConfig> configurationWith(const std::string &queueFields, const std::string &limitFields = {})
{
    const std::string queue = R"({"name":"q","host":"h","pathPrefix":"/p/","service":"s")" + (queueFields.empty() ? std::string() : "," + queueFields) + "}";
    const std::string entry = R"({"version":7,"routes":[)" + queue + "],\"services\":[],\"limits\":{" + limitFields + "}}";
    auto config = capture([&] { return RecordDecoder().configuration(entry); });
    const ClusterConfig *decoded = valueOf(config);
    return decoded != nullptr ? std::optional<ClusterConfig>(*decoded) : std::nullopt;
}

bool isBounded(std::chrono::milliseconds time)
{
    return time >= std::chrono::milliseconds(0) && time <= std::chrono::hours(24 * 100);
}

bool isBounded(const ClusterConfig &config)
{
    constexpr std::size_t MostBytes = 1'000'000'000;
    const QueueInfo &queue = config.queues.at("q");
    const AdviceParameters advice = queue.advice.value_or(AdviceParameters());
    const bool hasBoundedTimes = isBounded(queue.deadlineMargin) && isBounded(queue.timeout) && isBounded(advice.decisionTime)
        && isBounded(advice.decisionTimePerWorker) && isBounded(advice.validity) && isBounded(config.limits.headerTimeout)
        && isBounded(config.limits.idleTimeout);
    return hasBoundedTimes && queue.deadlineFactor >= 0 && queue.deadlineFactor <= 100 && queue.maximumFailures >= 0 && config.limits.headerBytes <= MostBytes
        && config.limits.bodyBytes <= MostBytes;
}

} // namespace

Test(oddRecords, anOddTimeOrLimitOfTheConfigurationIsLimited)
{
    cr_assert(configurationWith(R"("priority":2,"maxAttempts":3,"stretch":1.5,"sloMs":500,"timeoutMs":3000)", R"("idleTimeoutMs":15000)").has_value());
    for (const char *value : {"-1", "-9223372036854775808", "9223372036854775807", "4294967296"}) {
        for (const char *field : {"priority", "maxAttempts", "sloMs", "timeoutMs", "stretch"}) {
            const auto config = configurationWith("\"" + std::string(field) + "\":" + value);
            cr_expect(config && isBounded(*config), "%s: %s", field, value);
        }
        for (const char *field : {"decideMs", "eachMs", "validMs"}) {
            const auto config = configurationWith(R"("advice":{")" + std::string(field) + "\":" + value + "}");
            cr_expect(config && isBounded(*config), "%s: %s", field, value);
        }
        for (const char *field : {"maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"}) {
            const auto config = configurationWith("", "\"" + std::string(field) + "\":" + value);
            cr_expect(config && isBounded(*config), "%s: %s", field, value);
        }
    }
    for (const char *value : {"1e308", "1e999", "-1e999"}) {
        const auto config = configurationWith("\"stretch\":" + std::string(value));
        cr_expect(!config || isBounded(*config), "stretch: %s", value);
    }
}

Test(oddRecords, aConfigurationWithAnImpossibleVersionIsRefused)
{
    for (const char *version : OddIntegers) {
        if (std::string_view(version) == "9223372036854775807") {
            continue; // later versions are lower, but it is a version
        }
        cr_expect(
            fails([&] { return RecordDecoder().configuration("{\"version\":" + std::string(version) + ",\"routes\":[],\"services\":[]}"); }), "%s", version);
    }
}

namespace {

std::string newestPage(const std::string &items, const std::string &end = "9")
{
    return "{\"items\":[" + items + "],\"more\":false,\"end\":" + end + "}";
}

constexpr const char *UsualItem = R"({"key":"a","value":"eHk=","offset":7})";

} // namespace

Test(oddRecords, aPageWithAnOddKeyStillHasItsOtherRecords)
{
    const std::string oddItem = "{\"key\":\"\xff\xfe\",\"value\":\"eHk=\",\"offset\":8}";
    auto page = capture([&] { return decodeNewest(newestPage(UsualItem + std::string(",") + oddItem)); });
    const NewestRecordsPage *decoded = valueOf(page);
    cr_assert_not_null(decoded);
    cr_assert_eq(decoded->records.size(), 2);
    cr_assert_eq(decoded->records[0].key, "a");
    cr_assert_eq(decoded->records[1].key, "\xff\xfe");
}

Test(oddRecords, aPageWithAnImpossibleOffsetIsAnError)
{
    cr_assert_not(fails([] { return decodeNewest(newestPage(UsualItem)); }));
    for (const char *offset : OddIntegers) {
        cr_expect(fails([&] { return decodeNewest(newestPage(UsualItem, offset)); }), "end %s", offset);
        cr_expect(fails([&] { return decodeNewest(newestPage(R"({"key":"a","value":"eHk=","offset":)" + std::string(offset) + "}")); }), "offset %s", offset);
    }
    for (const char *first : {"\xff", "\x80", "\x7f"}) {
        const std::string offsets = std::string(first) + std::string(7, '\xff') + std::string(8, '\0');
        cr_expect(fails([&] { return decodeRecords(offsets, 0); }));
    }
}

Test(oddRecords, aRecordThatAnnouncesMoreBytesThanThereAreIsAnError)
{
    const std::string offsets(16, '\0');
    cr_expect(fails([&] { return decodeRecords(offsets + "\xff\xff\xff\xff" + "a", 0); }));
    cr_expect_not(fails([&] { return decodeRecords(offsets + std::string(4, '\0'), 0); }), "a record without key");
}

Test(oddRecords, oneOddEntryAmongTheWorkersChangesNothingForTheOthers)
{
    const RecordDecoder decoder;
    MetricsRegistry metrics;
    ClusterView cluster(decoder, metrics);
    for (const std::string &entry : {repeated("[", DeepNesting),
                                     workerWith("cpu", "1e999"),
                                     workerWith("cpu", "9223372036854775807"),
                                     workerWith("address", "\"127.0.0.1:99999\""),
                                     std::string("\xff"),
                                     workerWith("state", "\"unheard\"")}) {
        cr_expect(cluster.applyWorkerRecord({1, "usual", workerWith("", "")}).has_value());
        cr_expect_not(cluster.applyWorkerRecord({2, "odd", entry}).has_value());
        cr_expect(cluster.applyWorkerRecord({3, "other", workerWith("", "")}).has_value());
    }
}
