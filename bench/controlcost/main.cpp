#include <config/configledger.h>
#include <jobs/jobledger.h>
#include <membership/membershiptable.h>
#include <wire/codec.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include <malloc.h>

using namespace Hyssop;

namespace {

constexpr int Jobs = 36700; // tasks running at the design scale
constexpr int Contracts = 160;
constexpr int ChangesPerDay = 1300; // configuration changes
constexpr int RecordsPerBatch = 50; // about 20 ms of starts and ends at the peak
constexpr std::size_t ContractBytes = 4096;

using WallClock = std::chrono::steady_clock;

double microsecondsSince(WallClock::time_point begin)
{
    return std::chrono::duration<double, std::micro>(WallClock::now() - begin).count();
}

std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::string jobName(int number)
{
    return "badge-batch-2026-12-04-" + std::to_string(number);
}

Wire::Record submissionOf(int number)
{
    Wire::JobSubmitted submitted;
    submitted.spec.jobId = jobName(number);
    submitted.spec.customer = "cascadia";
    submitted.spec.team = "badge-printing";
    submitted.spec.taskName = "badge-print";
    submitted.spec.declared.milliCores = 2000;
    submitted.spec.declared.memoryBytes = 4'000'000'000;
    submitted.spec.declaredRunTimeMs = 1'200'000;
    submitted.spec.command = "print --event sakura --range " + std::to_string(number);
    submitted.submittedAtMs = 1'796'000'000'000;
    Wire::Record record;
    record.__set_jobSubmitted(submitted);
    return record;
}

Wire::Record intentOf(int number, std::int64_t term)
{
    Wire::AttemptIntent intent;
    intent.term = term;
    intent.jobId = jobName(number);
    intent.attempt = 1;
    intent.worker = "10.12.34.56:7300";
    Wire::Record record;
    record.__set_attemptIntent(intent);
    return record;
}

Wire::Record endOf(int number, std::int64_t term)
{
    Wire::AttemptEnded ended;
    ended.term = term;
    ended.jobId = jobName(number);
    ended.attempt = 1;
    ended.checkpoint = "checkpoint-000123";
    Wire::Record record;
    record.__set_attemptEnded(ended);
    return record;
}

Wire::RecordBatch batchOf(std::vector<Wire::Record> records)
{
    Wire::RecordBatch batch;
    batch.batchId = "scheduler-puget-a-0/1796000000000/123456";
    batch.writer = "scheduler-puget-a-0";
    batch.records = std::move(records);
    return batch;
}

/// Bytes of one record in a batch of RecordsPerBatch, and the time to encode and decode it.
void measureRecords(const char *name, Wire::Record (*make)(int, std::int64_t))
{
    constexpr int Rounds = 2000;
    std::vector<Wire::Record> records;
    records.reserve(RecordsPerBatch);
    for (int i = 0; i < RecordsPerBatch; ++i) {
        records.push_back(make(i, 1));
    }
    const Wire::RecordBatch batch = batchOf(std::move(records));
    std::string bytes;
    const auto encodeBegin = WallClock::now();
    for (int i = 0; i < Rounds; ++i) {
        bytes = encode(batch);
    }
    const double encodeTime = microsecondsSince(encodeBegin) / (Rounds * RecordsPerBatch);
    const auto decodeBegin = WallClock::now();
    for (int i = 0; i < Rounds; ++i) {
        auto decoded = capture([&] { return decodeRecordBatch(bytes); });
        if (valueOf(decoded) == nullptr) {
            std::printf("a batch could not be decoded\n");
            return;
        }
    }
    const double decodeTime = microsecondsSince(decodeBegin) / (Rounds * RecordsPerBatch);
    std::printf(
        "record %-12s %6.1f bytes  encode %.2f us  decode %.2f us\n", name, static_cast<double>(bytes.size()) / RecordsPerBatch, encodeTime, decodeTime);
}

Wire::Record submissionWithTerm(int number, std::int64_t)
{
    return submissionOf(number);
}

class JobLedgerBenchmark
{
public:
    JobLedgerBenchmark()
        : m_ledger(std::chrono::hours(24))
    {
        Wire::Record claim;
        claim.__set_ownershipClaim(Wire::OwnershipClaim());
        apply(claim);
    }

    void measure(int jobs)
    {
        const std::size_t before = allocatedBytes();
        const double submit = timeFor(jobs, [](int i) { return submissionOf(i); });
        const double intent = timeFor(jobs, [this](int i) { return intentOf(i, m_ledger.term()); });
        const std::size_t after = allocatedBytes();
        std::size_t accepted = 0;
        for (const auto &[id, entry] : m_ledger.jobs()) {
            accepted += entry.attempt == 1 ? 1 : 0;
        }
        const double end = timeFor(jobs, [this](int i) { return endOf(i, m_ledger.term()); });
        std::printf("job ledger, %6d jobs: %5.0f bytes a job, %.2f MB in all; apply submission %.2f us, intent %.2f us, end %.2f us (%zu accepted)\n",
                    jobs,
                    static_cast<double>(after - before) / jobs,
                    static_cast<double>(after - before) / 1e6,
                    submit,
                    intent,
                    end,
                    accepted);
    }

private:
    void apply(const Wire::Record &record) { m_ledger.apply({++m_offset, 0}, m_time, record); }

    template<typename Make>
    double timeFor(int count, Make make)
    {
        double total = 0;
        for (int i = 0; i < count; ++i) {
            const Wire::Record record = make(i);
            const auto begin = WallClock::now();
            apply(record);
            total += microsecondsSince(begin);
        }
        return total / count;
    }

    JobLedger m_ledger;
    std::int64_t m_offset = 0;
    WallTime m_time{std::chrono::hours(500000)};
};

void measureConfiguration()
{
    const std::size_t before = allocatedBytes();
    ConfigLedger ledger([](const std::string &, const std::string &) { return std::nullopt; });
    ledger.setOldestOffset(1);
    std::vector<std::int64_t> revisions(Contracts, 0);
    const WallTime time{std::chrono::hours(500000)};
    double total = 0;
    std::size_t bytes = 0;
    for (int i = 0; i < ChangesPerDay; ++i) {
        const int contract = i % Contracts;
        Wire::ConfigChange change;
        change.changeId = "42d4cd4a-5651-481d-9003-" + std::to_string(i);
        change.key = "contract/customer-" + std::to_string(contract);
        change.baseRevision = revisions[static_cast<std::size_t>(contract)]++;
        change.body = std::string(ContractBytes, 'x');
        change.operatorName = "operator";
        Wire::Record record;
        record.__set_configChange(change);
        bytes += encode(batchOf({record})).size();
        const auto begin = WallClock::now();
        ledger.apply(i + 1, time, record);
        ledger.advanceTo(i + 1);
        total += microsecondsSince(begin);
    }
    ledger.settleAtHead();
    const std::size_t after = allocatedBytes();
    std::printf("configuration, %d changes of %zu bytes to %d contracts: %.2f MB, apply %.2f us, %.0f bytes in the log each, complete %d\n",
                ChangesPerDay,
                ContractBytes,
                Contracts,
                static_cast<double>(after - before) / 1e6,
                total / ChangesPerDay,
                static_cast<double>(bytes) / ChangesPerDay,
                ledger.isComplete() ? 1 : 0);
}

void measureHeartbeat()
{
    Wire::Envelope envelope;
    Wire::Heartbeat heartbeat;
    heartbeat.instance = "scheduler-puget-a-0";
    heartbeat.incarnation = 1'796'000'000'000;
    heartbeat.domain = "puget-a";
    heartbeat.role = "scheduler";
    heartbeat.configHead = 123456;
    heartbeat.configAgeMs = 412;
    heartbeat.configDigest = 0x0123456789abcdef;
    heartbeat.term = 987654;
    heartbeat.address = "10.12.34.56:7100";
    envelope.id = 123456;
    envelope.message.__set_heartbeat(heartbeat);
    std::printf("heartbeat frame: %zu bytes\n", encode(envelope).size() + sizeof(std::uint32_t));
}

} // namespace

/// Measures sizes and times per record, ledger entry and message for docs/CAPACITY.md. Takes a few seconds and less than 200 MB.
int main()
{
    measureRecords("submission", submissionWithTerm);
    measureRecords("intent", intentOf);
    measureRecords("end", endOf);
    for (const int jobs : {Jobs / 16, Jobs / 4, Jobs}) {
        JobLedgerBenchmark benchmark;
        benchmark.measure(jobs);
    }
    measureConfiguration();
    measureHeartbeat();
    return 0;
}
