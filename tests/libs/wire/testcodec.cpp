#include <wire/codec.h>

#include <criterion/criterion.h>

#include <random>

using namespace Hyssop;

static Wire::RecordBatch sampleBatch()
{
    Wire::ConfigChange change;
    change.changeId = "c1";
    change.key = "contract/cascadia";
    change.baseRevision = 3;
    Wire::Record record;
    record.__set_configChange(change);
    Wire::RecordBatch batch;
    batch.batchId = "b1";
    batch.records.push_back(record);
    return batch;
}

// Guards against records that change when they are encoded and decoded.
Test(codec, roundTripsRecords)
{
    auto decoded = capture([] { return decodeRecordBatch(encode(sampleBatch())); });
    cr_assert(valueOf(decoded) != nullptr);
    cr_assert(*valueOf(decoded) == sampleBatch());
}

// Guards against a crash or an allocation of gigabytes on damaged input. Each case replaces, truncates or inserts bytes of
// a valid message, with a fixed seed.
Test(codec, survivesDamagedBytes)
{
    constexpr unsigned Seed = 20261204;
    std::mt19937 random(Seed);
    const std::string valid = encode(sampleBatch());
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = valid;
        const int changes = 1 + static_cast<int>(random() % 4);
        for (int change = 0; change < changes && !bytes.empty(); ++change) {
            const std::size_t position = random() % bytes.size();
            switch (random() % 3) {
            case 0:
                bytes[position] = static_cast<char>(random());
                break;
            case 1:
                bytes.resize(position);
                break;
            default:
                bytes.insert(position, 1, static_cast<char>(random()));
            }
        }
        auto batch = capture([&] { return decodeRecordBatch(bytes); });
        auto envelope = capture([&] { return decodeEnvelope(bytes); });
        const Error *error = errorOf(batch);
        cr_assert(error == nullptr || error->code == ErrorCode::Malformed, "seed %u round %d", Seed, round);
    }
}

// Guards against messages that exceed the size limit.
Test(codec, rejectsOversizedInput)
{
    auto decoded = capture([] { return decodeEnvelope(std::string(MaximumWireMessageSize + 1, 'x')); });
    cr_assert(errorOf(decoded) != nullptr);
    cr_assert(errorOf(decoded)->code == ErrorCode::TooLarge);
}
