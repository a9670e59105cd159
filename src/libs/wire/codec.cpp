#include "codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace Hyssop {

namespace Internal {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr int MaximumNestingDepth = 16;

template<typename Value>
static std::string encodeValue(const Value &value)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

template<typename Value>
static Result<Value> decodeValue(std::string_view bytes)
{
    if (bytes.size() > MaximumWireMessageSize) {
        return fail(ErrorCode::TooLarge, "message of " + std::to_string(bytes.size()) + " bytes");
    }
    try {
        const auto configuration =
            std::make_shared<TConfiguration>(static_cast<int>(MaximumWireMessageSize), static_cast<int>(MaximumWireMessageSize), MaximumNestingDepth);
        // TMemoryBuffer takes a mutable pointer, but does not write to it with the policy OBSERVE.
        auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
        auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE, configuration);
        TCompactProtocolT<TMemoryBuffer> protocol(buffer, static_cast<int>(MaximumWireMessageSize), static_cast<int>(MaximumWireMessageSize));
        Value value;
        value.read(&protocol);
        if (buffer->available_read() != 0) {
            return fail(ErrorCode::Malformed, std::to_string(buffer->available_read()) + " bytes after the message");
        }
        return value;
    } catch (const apache::thrift::TException &error) {
        return fail(ErrorCode::Malformed, error.what());
    } catch (const std::bad_alloc &) {
        return fail(ErrorCode::Malformed, "a length in the message is too large");
    }
}

} // namespace Internal

std::string encode(const Wire::Envelope &envelope)
{
    return Internal::encodeValue(envelope);
}

std::string encode(const Wire::RecordBatch &batch)
{
    return Internal::encodeValue(batch);
}

std::string encode(const Wire::StepJob &job)
{
    return Internal::encodeValue(job);
}

std::string encode(const Wire::JobProgress &progress)
{
    return Internal::encodeValue(progress);
}

std::string encode(const Wire::TopicClaim &claim)
{
    return Internal::encodeValue(claim);
}

std::string encode(const Wire::LearnedTails &tails)
{
    return Internal::encodeValue(tails);
}

std::string encode(const Wire::ServingRoom &room)
{
    return Internal::encodeValue(room);
}

std::string encode(const Wire::SilentWorkers &silent)
{
    return Internal::encodeValue(silent);
}

std::string encode(const Wire::TakeoverOffer &offer)
{
    return Internal::encodeValue(offer);
}

Result<Wire::Envelope> decodeEnvelope(std::string_view bytes)
{
    return Internal::decodeValue<Wire::Envelope>(bytes);
}

Result<Wire::RecordBatch> decodeRecordBatch(std::string_view bytes)
{
    return Internal::decodeValue<Wire::RecordBatch>(bytes);
}

Result<Wire::StepJob> decodeStepJob(std::string_view bytes)
{
    return Internal::decodeValue<Wire::StepJob>(bytes);
}

Result<Wire::JobProgress> decodeJobProgress(std::string_view bytes)
{
    return Internal::decodeValue<Wire::JobProgress>(bytes);
}

Result<Wire::TopicClaim> decodeTopicClaim(std::string_view bytes)
{
    return Internal::decodeValue<Wire::TopicClaim>(bytes);
}

Result<Wire::LearnedTails> decodeLearnedTails(std::string_view bytes)
{
    return Internal::decodeValue<Wire::LearnedTails>(bytes);
}

Result<Wire::ServingRoom> decodeServingRoom(std::string_view bytes)
{
    return Internal::decodeValue<Wire::ServingRoom>(bytes);
}

Result<Wire::SilentWorkers> decodeSilentWorkers(std::string_view bytes)
{
    return Internal::decodeValue<Wire::SilentWorkers>(bytes);
}

Result<Wire::TakeoverOffer> decodeTakeoverOffer(std::string_view bytes)
{
    return Internal::decodeValue<Wire::TakeoverOffer>(bytes);
}

} // namespace Hyssop
